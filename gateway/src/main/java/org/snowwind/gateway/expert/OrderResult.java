package org.snowwind.gateway.expert;

/**
 * The result of an order.
 */
public enum OrderResult {

	/** The order is complete. */
	TAKEN,

	/** The rank has started to execute the order. */
	BEGUN,

	/** The order does not fit the rank's state and was rejected. */
	UNFIT,

	/** The rank has seen a newer fencing token. */
	FENCED,

	/** The rank is a new incarnation of the server. */
	RESTARTED,

	/** The rank did not answer; it may have executed the order or may do so later. */
	UNKNOWN

}
