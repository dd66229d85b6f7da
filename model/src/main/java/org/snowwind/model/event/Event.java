package org.snowwind.model.event;

import java.util.logging.Level;

/**
 * The numbered events; {@code docs/events.md} explains each.
 */
public enum Event {

	/** An entry serves. */
	ENTRY_STARTED(1001, Level.INFO, "entry serves"),

	/** An entry stops taking requests. */
	ENTRY_DRAINING(1002, Level.INFO, "entry drains"),

	/** An entry has stopped. */
	ENTRY_STOPPED(1003, Level.INFO, "entry stopped"),

	/** An agent serves. */
	AGENT_STARTED(1101, Level.INFO, "agent serves"),

	/** An agent refuses new work. */
	AGENT_DRAINING(1102, Level.INFO, "agent drains"),

	/** An agent has stopped. */
	AGENT_STOPPED(1103, Level.INFO, "agent stopped"),

	/** Work was still running when the drain bound passed. */
	DRAIN_BOUND_PASSED(1104, Level.WARNING, "work cut off at the drain bound"),

	/** A newer configuration is in force in this process. */
	CONFIG_APPLIED(2001, Level.INFO, "configuration applied"),

	/** An object in the platform is not valid; the last good one stays. */
	CONFIG_REJECTED(2002, Level.WARNING, "object rejected, last good one stays in force"),

	/** An older configuration was offered and ignored. */
	CONFIG_STALE_IGNORED(2003, Level.INFO, "older configuration ignored"),

	/** The platform did not answer. */
	PLATFORM_AWAY(2101, Level.WARNING, "platform away, serving from memory"),

	/** The platform answers again. */
	PLATFORM_BACK(2102, Level.INFO, "platform back"),

	/** The watch had a gap and everything was listed again. */
	WATCH_GAP(2103, Level.INFO, "watch gap, listed again"),

	/** This entry opened its own watch. */
	RELAY_TAKEN(2104, Level.INFO, "relay duty taken"),

	/** This entry closed its own watch. */
	RELAY_LEFT(2105, Level.INFO, "relay duty left"),

	/** A server is no longer offered work. */
	SERVER_SUSPECTED(3001, Level.WARNING, "server suspected"),

	/** A suspected server answers again. */
	SERVER_TRUSTED(3002, Level.INFO, "server trusted"),

	/** A server was restarted. */
	SERVER_RESTARTED(3003, Level.INFO, "server has a new incarnation"),

	/** A peer entry is suspected. */
	PEER_SUSPECTED(3101, Level.WARNING, "peer entry suspected"),

	/** A peer entry answers again. */
	PEER_TRUSTED(3102, Level.INFO, "peer entry trusted"),

	/** A request ended with an unknown outcome. */
	OUTCOME_UNKNOWN(4001, Level.WARNING, "outcome unknown"),

	/** A stream was resumed at its offset. */
	STREAM_RESUMED(4002, Level.INFO, "stream resumed"),

	/** A bounded ring was full. */
	RING_FULL(5001, Level.WARNING, "ring full"),

	/** An unexpected fault. */
	INTERNAL_FAULT(9001, Level.SEVERE, "internal fault");

	private final int number;

	private final Level level;

	private final String summary;

	Event(int number, Level level, String summary) {
		this.number = number;
		this.level = level;
		this.summary = summary;
	}

	/**
	 * Returns the event's id as it is logged.
	 * @return for example {@code SW-1001}
	 */
	public String id() {
		return "SW-" + this.number;
	}

	/**
	 * Returns the level.
	 * @return the level
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the summary.
	 * @return a few words
	 */
	public String summary() {
		return this.summary;
	}

}
