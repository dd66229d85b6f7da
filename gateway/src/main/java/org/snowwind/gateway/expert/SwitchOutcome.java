package org.snowwind.gateway.expert;

/**
 * The outcome of a switch to a new map.
 */
enum SwitchOutcome {

	/** Every rank is armed and the pass is released. */
	RELEASED,

	/** No pass was held; the current map stays in force. */
	DROPPED,

	/** Another gateway has the duty and completes the switch. */
	FENCED,

	/** The group was formed anew, which cancels all orders. */
	FORMED_ANEW,

	/**
	 * The switch was reverted and the pass released; the current experts stay in force,
	 * under a new version.
	 */
	TAKEN_BACK,

	/** A rank does not answer, and the pass is still held; ranks are read again. */
	UNREACHED,

	/** Ranks are in different states, or a pass is still held; they are read again. */
	UNSETTLED

}
