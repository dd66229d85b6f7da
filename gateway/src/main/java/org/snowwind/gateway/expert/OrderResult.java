package org.snowwind.gateway.expert;

/**
 * What became of an order.
 */
public enum OrderResult {

	/** It is done. */
	TAKEN,

	/** The rank has begun it and is not done. */
	BEGUN,

	/** It does not fit the rank's state, and will not be done. */
	UNFIT,

	/** A gateway with a newer fencing token gives orders there. */
	FENCED,

	/** The rank is another run of the server now. */
	RESTARTED,

	/** No answer came; it may have been done, or may be later. */
	UNKNOWN

}
