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
	 * Returns whether the attempt may be given up now because its server is silent.
	 * @param end how the attempt would end
	 * @return false if that would end the request without a whole answer
	 */
	boolean isReplaceable(AttemptEnd end);

	/**
	 * The attempt is over.
	 * @param end how it ended
	 */
	void attemptEnded(AttemptEnd end);

}
