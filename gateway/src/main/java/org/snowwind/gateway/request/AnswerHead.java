package org.snowwind.gateway.request;

import org.snowwind.decide.notice.ServerNotice;

/**
 * What a server says of its answer.
 *
 * @param refused whether it promises that it did not run the request
 * @param elsewhere whether it is not the run of the server that was addressed
 * @param signed whether the answer bears the server's signature
 * @param requestId the id of the request that it answers; {@code null} if it does not say
 * @param encoded whether the body is not as the server made it
 * @param notice what it says about the near future of the server
 */
public record AnswerHead(boolean refused, boolean elsewhere, boolean signed, String requestId, boolean encoded,
		ServerNotice notice) {

	private static final int OK = 200;

	private static final int REDIRECT = 300;

	/**
	 * Tells whether the answer says that it is to another request.
	 * @param expectedId the request's id, may be {@code null}
	 * @return true if it bears another id
	 */
	public boolean toAnotherThan(String expectedId) {
		return this.requestId != null && expectedId != null && !this.requestId.equals(expectedId);
	}

	/**
	 * Tells whether the answer can be that of a request.
	 * @param status the HTTP status
	 * @param expectedId the request's id, may be {@code null}
	 * @return false if it must not be passed on
	 */
	public boolean credible(int status, String expectedId) {
		boolean success = status >= OK && status < REDIRECT;
		return !toAnotherThan(expectedId) && !this.encoded && (this.signed || !success);
	}

}
