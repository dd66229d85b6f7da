package org.snowwind.gateway.request;

import org.snowwind.decide.notice.ServerNotice;

/**
 * Metadata that a backend server sends in the headers of a response.
 *
 * @param rejected whether the server promises that it did not run the request
 * @param fromOtherInstance whether the response does not come from the server incarnation
 * that was addressed
 * @param signed whether the response carries the server's signature
 * @param requestId the id of the request that the response belongs to; {@code null} if it
 * has none
 * @param encoded whether the body has a content encoding, so that it is not as the server
 * produced it
 * @param notice the server's announcements about its availability, such as rate limits or
 * its shutdown
 */
public record ResponseMetadata(boolean rejected, boolean fromOtherInstance, boolean signed, String requestId,
		boolean encoded, ServerNotice notice) {

	private static final int OK = 200;

	private static final int REDIRECT = 300;

	/**
	 * Returns whether the response belongs to another request.
	 * @param expectedId the request's id, may be {@code null}
	 * @return true if both ids are present and differ
	 */
	public boolean answersOtherRequest(String expectedId) {
		return this.requestId != null && expectedId != null && !this.requestId.equals(expectedId);
	}

	/**
	 * Returns whether the response can be accepted as the server's response to a request.
	 * @param status the HTTP status
	 * @param expectedId the request's id, may be {@code null}
	 * @return false if the response must not be passed on
	 */
	public boolean isCredible(int status, String expectedId) {
		boolean success = status >= OK && status < REDIRECT;
		return !answersOtherRequest(expectedId) && !this.encoded && (this.signed || !success);
	}

}
