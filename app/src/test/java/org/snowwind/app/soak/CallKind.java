package org.snowwind.app.soak;

/**
 * The kinds of requests that callers send.
 */
enum CallKind {

	/** May run once at most. */
	ONCE("POST", "/once/"),

	/** May run again. */
	AGAIN("GET", "/again/"),

	/** Answered with a stream that may be resumed. */
	STREAM("POST", "/stream/"),

	/** May run again; configurations send it to one service and then to another. */
	MOVING("GET", "/moving/");

	private final String method;

	private final String prefix;

	CallKind(String method, String prefix) {
		this.method = method;
		this.prefix = prefix;
	}

	String method() {
		return this.method;
	}

	String prefix() {
		return this.prefix;
	}

	String target(String requestId) {
		return this.prefix + "x?n=" + requestId;
	}

}
