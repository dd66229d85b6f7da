package org.snowwind.model.outcome;

/**
 * The kinds of refusal and failure, each with its HTTP status and its remedy.
 */
public enum ProblemKind {

	/** The message is not valid HTTP. */
	MALFORMED_HTTP(400, "Send valid HTTP/1.1."),

	/** The target URI is longer than allowed. */
	URI_TOO_LONG(414, "Shorten the URI to 4096 bytes."),

	/** The header block is larger than allowed. */
	HEADERS_TOO_LARGE(431, "Keep all headers together under 16 KiB."),

	/** The body is larger than the organisation may send. */
	BODY_TOO_LARGE(413, "Send a smaller body, or ask an operator to raise maxBodyBytes of the organisation."),

	/** The request was not sent to its end in time. */
	REQUEST_TIMEOUT(408, "Send the whole request without a long pause."),

	/** The request needs more memory than a whole server has. */
	TOO_MANY_TOKENS(413, "Send a shorter prompt or allow fewer output tokens."),

	/** No key, or a key that no organisation holds. */
	UNKNOWN_ORGANISATION(401, "Send 'Authorization: Bearer KEY' with a key of a declared organisation."),

	/** The caller's organisation may not use the target. */
	NOT_ALLOWED(403, "Ask an operator to grant this."),

	/** No such model. */
	UNKNOWN_MODEL(404, "Use a model that a ModelGroup resource declares."),

	/** No such service. */
	UNKNOWN_SERVICE(404, "Use a service that a Service resource declares."),

	/** No such path. */
	UNKNOWN_PATH(404, "Use /v1/models/MODEL/generate or /v1/services/SERVICE/PATH."),

	/** The method does not fit the path. */
	METHOD_NOT_ALLOWED(405, "Use the method that the path takes."),

	/** The body is not the JSON that is expected. */
	BAD_JSON(400, "Send a JSON object as docs/callers.md describes it."),

	/** A header of ours carries a value that is not allowed. */
	BAD_HEADER(400, "Use one of the values that docs/callers.md lists."),

	/** The same idempotency key came with another body. */
	KEY_REUSED(422, "Use a new Idempotency-Key for a new request."),

	/** The idempotency key is claimed already. */
	KEY_CLAIMED(409, "The request with this key runs or ran; ask the service for its state."),

	/** The organisation is over its own rate. */
	RATE_LIMITED(429, "Come back after Retry-After."),

	/** The organisation has too many requests open. */
	TOO_MANY_OPEN(429, "Wait for open requests to end."),

	/** No server can take the request now. */
	OVERLOADED(503, "Come back after Retry-After."),

	/** No live server serves the target. */
	NO_SERVER(503, "Come back after Retry-After; operators see 'snowwind get BackendServer'."),

	/** The process is leaving or has no configuration yet. */
	NOT_READY(503, "Send it again; another entry will take it."),

	/** The agent that was addressed has been restarted since. */
	WRONG_INCARNATION(503, "Nothing to do: the entry sends it elsewhere."),

	/** The platform is away and the request needs a claim there. */
	CLAIM_UNAVAILABLE(503, "Come back after Retry-After with the same Idempotency-Key."),

	/** The time budget ended before the work began. */
	DEADLINE_NOT_RUN(503, "Come back after Retry-After or allow more time."),

	/** The time budget ended after the work may have begun. */
	DEADLINE(504, "See X-Snowwind-Outcome before sending it again."),

	/** The back end broke off. */
	BACKEND_FAILED(502, "See X-Snowwind-Outcome before sending it again."),

	/** Servers ended while they ran this request; it is not sent to any more. */
	ENDS_SERVERS(400, "Do not send it again as it is; tell an operator the digest."),

	/** The fleet credential or operator token is wrong. */
	BAD_CREDENTIAL(403, "Use the credential from the settings of this fleet."),

	/** The resource does not exist. */
	UNKNOWN_RESOURCE(404, "See 'snowwind get KIND' for what is declared."),

	/** The resource's text is not valid. */
	INVALID_RESOURCE(422, "Mend each finding and apply again."),

	/** Somebody else changed the resource meanwhile. */
	CONFLICT(409, "Read the resource again, merge, and apply again."),

	/** The platform's object API did not answer. */
	PLATFORM_AWAY(503, "Traffic goes on; apply again when the platform is back."),

	/** The platform's object API lost the answer and could not be read back. */
	WRITE_UNCERTAIN(504, "Read the resource; apply again if the change is not there."),

	/** A fault of snowwind itself. */
	INTERNAL(500, "Report it with the event number from the log.");

	private final int httpStatus;

	private final String remedy;

	ProblemKind(int httpStatus, String remedy) {
		this.httpStatus = httpStatus;
		this.remedy = remedy;
	}

	/**
	 * Returns the HTTP status that goes with this kind.
	 * @return the status
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns what whoever meets the problem can do.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

	/**
	 * Returns the machine-readable code.
	 * @return the name in lower case with hyphens
	 */
	public String code() {
		return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
	}

	/**
	 * Finds a kind by its code.
	 * @param code the code, may be {@code null}
	 * @return the kind, {@link #INTERNAL} if there is none
	 */
	public static ProblemKind ofCode(String code) {
		for (ProblemKind kind : values()) {
			if (kind.code().equals(code)) {
				return kind;
			}
		}
		return INTERNAL;
	}

}
