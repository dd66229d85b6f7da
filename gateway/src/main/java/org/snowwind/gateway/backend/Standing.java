package org.snowwind.gateway.backend;

/**
 * Whom a request goes before where a group of ranks is nearly full.
 */
public enum Standing {

	/** It is late already and takes what the others leave. */
	LATE(0.8),

	/** Its caller asks for the first time. */
	FRESH(0.95),

	/**
	 * Its caller was turned away before: better one pass a little longer than a caller
	 * turned away twice.
	 */
	RETURNED(1.05);

	private final double share;

	Standing(double share) {
		this.share = share;
	}

	/**
	 * Returns which part of a group's limit such a request may fill; measured, see
	 * docs/design/platform.md.
	 * @return the part
	 */
	double share() {
		return this.share;
	}

}
