package org.snowwind.model.outcome;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.snowwind.model.Json;

/**
 * One refusal or failure, ready to be told.
 *
 * @param kind the kind
 * @param detail what exactly is wrong here, one line without bodies or keys
 * @param disclosure what is known about whether the request ran
 * @param retryAfterMillis when to come back, in milliseconds; 0 if that says nothing
 */
public record Problem(ProblemKind kind, String detail, Disclosure disclosure, long retryAfterMillis) {

	private static final long MILLIS_PER_SECOND = 1000;

	/**
	 * Creates a problem of a request that never ran.
	 * @param kind the kind
	 * @param detail what is wrong
	 * @return the problem
	 */
	public static Problem notRun(ProblemKind kind, String detail) {
		return new Problem(kind, detail, Disclosure.NOT_RUN, 0);
	}

	/**
	 * Returns the same problem with a time to come back.
	 * @param millis from now, in milliseconds
	 * @return a new problem
	 */
	public Problem retryAfter(long millis) {
		return new Problem(this.kind, this.detail, this.disclosure, millis);
	}

	/**
	 * Returns the value of {@code Retry-After}.
	 * @return whole seconds, rounded up, at least 1
	 */
	public long retryAfterSeconds() {
		return Math.max(1, (this.retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
	}

	/**
	 * Renders the response body.
	 * @return a JSON object
	 */
	public String toJson() {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("code", this.kind.code());
		fields.put("message", this.detail);
		fields.put("remedy", this.kind.remedy());
		fields.put("outcome", this.disclosure.headerValue());
		if (this.retryAfterMillis > 0) {
			fields.put("retryAfterMillis", this.retryAfterMillis);
		}
		try {
			return Json.MAPPER.writeValueAsString(Map.of("error", fields));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("strings and numbers always serialize", ex);
		}
	}

}
