package org.snowwind.app.explain;

/**
 * Why a request was not answered on time.
 */
enum LossCause {

	/** It was answered on time: no loss. */
	NONE("answered on time"),

	/** It was refused before a server was looked for. */
	REFUSED_BY_TABLE("refused by the configuration"),

	/** Its gateway stopped and might not have ended it in time. */
	REFUSED_BY_STOP("refused by a gateway that stops"),

	/** All groups of its service took nothing. */
	GROUPS_CLOSED("turned away: all groups closed"),

	/** All servers of its service backed off. */
	SERVERS_BACKED_OFF("rejected: all servers back off"),

	/** No server had room in time. */
	NO_ROOM("turned away: no room in time"),

	/** No server of its service takes work. */
	NO_SERVER("no server takes work"),

	/** Its stream began too late. */
	LATE_FIRST_EVENT("late: first event"),

	/** Its stream paused too long while demand for experts moved. */
	LATE_PAUSE_DEMAND_MOVED("late: pause, demand moved"),

	/** Its stream paused too long while its group stood still. */
	LATE_PAUSE_STANDSTILL("late: pause, group stood still"),

	/** Its stream paused too long, for long passes of a full group. */
	LATE_PAUSE_LONG_PASSES("late: pause, long passes"),

	/** Its plain answer took too long. */
	LATE_ANSWER("late: answer"),

	/** It ends the servers that run it. */
	ENDS_SERVERS("refused: it ends servers"),

	/** It needs more memory than a server has. */
	TOO_MANY_TOKENS("refused: larger than a server's memory"),

	/** A server failed after it may have run. */
	SERVER_FAILED("a server failed"),

	/** Its time ended. */
	DEADLINE("its time ended"),

	/** Its caller left. */
	CALLER_LEFT("its caller left"),

	/** Its end was not logged. */
	END_NOT_LOGGED("its end was not logged: the process died, or lines were left out"),

	/** Nothing of the above. */
	UNKNOWN("no cause found");

	private final String text;

	LossCause(String text) {
		this.text = text;
	}

	/**
	 * Returns the cause in words.
	 * @return a few words
	 */
	String text() {
		return this.text;
	}

}
