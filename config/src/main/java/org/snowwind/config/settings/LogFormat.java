package org.snowwind.config.settings;

/**
 * How log lines look.
 */
public enum LogFormat {

	/** One line of text an event. */
	TEXT,

	/** One JSON object an event. */
	JSON

}
