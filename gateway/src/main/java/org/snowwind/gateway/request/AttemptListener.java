package org.snowwind.gateway.request;

import java.util.Map;

import org.snowwind.decide.outcome.AttemptEnd;

/**
 * Is told how an attempt fares, on the loop, and nothing more after its end.
 */
interface AttemptListener {

	/**
	 * A credible answer begins.
	 * @param status the HTTP status
	 * @param headers the headers by lower-case name
	 */
	void answerBegins(int status, Map<String, String> headers);

	/**
	 * A part of the answer's body has arrived.
	 * @param bytes the part
	 */
	void answerBytes(byte[] bytes);

	/**
	 * The attempt has ended.
	 * @param end how
	 */
	void attemptEnded(AttemptEnd end);

}
