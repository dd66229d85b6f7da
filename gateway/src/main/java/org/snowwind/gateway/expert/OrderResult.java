package org.snowwind.gateway.expert;

/**
 * What became of an order.
 */
public enum OrderResult {

	/** The rank does it, or it is done already. */
	TAKEN,

	/** It does not fit the rank's state, and will not be done. */
	UNFIT,

	/** A gateway with a newer fencing token gives orders there. */
	FENCED,

	/** The rank is another run of the server now. */
	RESTARTED,

	/** No answer came; it may have been done, or may be later. */
	UNKNOWN

}
