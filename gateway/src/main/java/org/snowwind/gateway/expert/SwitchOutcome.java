package org.snowwind.gateway.expert;

/**
 * How a switch to a new map ended.
 */
enum SwitchOutcome {

	/** Every rank is armed and the pass is released. */
	RELEASED,

	/** Nothing was held; the map in force stays. */
	DROPPED,

	/** Another gateway has the duty; it finishes what was begun. */
	FENCED,

	/** The group was formed anew, which undoes whatever was ordered. */
	FORMED_ANEW,

	/** Every rank was disarmed and the pass released; the map in force stays. */
	TAKEN_BACK

}
