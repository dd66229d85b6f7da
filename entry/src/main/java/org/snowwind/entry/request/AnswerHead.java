package org.snowwind.entry.request;

import java.util.HashMap;
import java.util.Map;

import org.snowwind.http.server.HttpExchange;
import org.snowwind.model.AttemptHeaders;

/**
 * The head of one attempt's answer, which is held back until the first bytes under it go
 * out.
 *
 * <p>
 * A head that went out alone would stay, although its server breaks off before the first
 * byte, and another server's body would follow under it.
 *
 * @param status the HTTP status
 * @param headers the headers by lower-case name
 */
record AnswerHead(int status, Map<String, String> headers) {

	private static final String CONTENT_LENGTH = "content-length";

	AnswerHead {
		headers = Map.copyOf(headers);
	}

	/**
	 * Sends the head, without what entry and agent say to each other. The length of an
	 * answer that another server may continue is not promised, because the rest need not
	 * have the length that the first server told.
	 * @param exchange the way to the caller
	 * @param resumable whether another server may continue the answer
	 */
	void begin(HttpExchange exchange, boolean resumable) {
		Map<String, String> sent = new HashMap<>(this.headers);
		sent.keySet().removeIf((name) -> name.startsWith(AttemptHeaders.PREFIX));
		if (resumable) {
			sent.remove(CONTENT_LENGTH);
		}
		exchange.begin(this.status, sent);
	}

}
