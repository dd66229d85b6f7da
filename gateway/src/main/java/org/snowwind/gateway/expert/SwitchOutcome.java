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

	/** Every rank was disarmed and the pass released; the current map stays in force. */
	TAKEN_BACK

}
