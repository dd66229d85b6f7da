package org.snowwind.gateway.evacuation;

/**
 * The outcome of an operator's request to begin or end an evacuation.
 */
public enum EvacuationOutcome {

	/** The store has acknowledged it. */
	DONE,

	/** The name of the data centre is not valid. */
	INVALID_NAME,

	/** No server with a valid entry is registered in the data centre. */
	NO_SERVERS,

	/** The store holds the evacuation already. */
	ALREADY_BEGUN,

	/** The store holds no evacuation of the data centre. */
	NOT_BEGUN,

	/** Another operator has written it in the meantime. */
	CHANGED_MEANWHILE,

	/** The store does not answer or rejects the request, which had no effect. */
	NOT_WRITTEN,

	/** The store has not acknowledged the request, which may still have an effect. */
	UNCERTAIN

}
