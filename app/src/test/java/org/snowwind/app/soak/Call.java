package org.snowwind.app.soak;

/**
 * One request of a caller and what came of it.
 *
 * @param id its id
 * @param work the piece of work that it asks for; a caller that comes back asks for the
 * same one with another id
 * @param kind what kind of request it is
 * @param body its body
 * @param key the caller's key
 * @param after the last event of a stream that its caller has already, 0 for none
 * @param gateway the gateway that it was sent to
 * @param sentNanos when it was sent
 * @param endedNanos when its answer ended or broke
 * @param status the status of the answer, 0 if none came
 * @param signature the server's signature, {@code null} if the answer bore none
 * @param answer the body of the answer as far as it came
 * @param whole whether the answer ended as a whole one does
 */
record Call(String id, String work, CallKind kind, String body, String key, int after, String gateway, long sentNanos,
		long endedNanos, int status, String signature, String answer, boolean whole) {

	private static final int OK = 200;

	boolean served() {
		return this.status == OK && this.whole;
	}

	String describe() {
		return this.kind + " " + this.id + " at " + this.gateway + " (status " + this.status + ", "
				+ (this.endedNanos - this.sentNanos) / 1_000_000 + " ms)";
	}

}
