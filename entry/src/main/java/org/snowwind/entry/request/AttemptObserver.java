package org.snowwind.entry.request;

import java.util.Map;

import org.snowwind.decide.outcome.AttemptEnd;

/**
 * Is told how an attempt fares.
 */
interface AttemptObserver {

	/**
	 * The back end's answer begins.
	 * @param status the HTTP status
	 * @param headers the headers by lower-case name
	 */
	void answerBegins(int status, Map<String, String> headers);

	/**
	 * A part of the answer has come.
	 * @param bytes the part
	 */
	void answerBytes(byte[] bytes);

	/**
	 * The attempt is over.
	 * @param end how it ended
	 */
	void attemptEnded(AttemptEnd end);

}
