package org.snowwind.gateway.request;

import java.util.Map;

/**
 * How callers and backend servers of one platform name what they say in headers.
 */
public interface BackendDialect {

	/**
	 * Reads what a caller says of its request.
	 * @param headers its headers by lower-case name
	 * @return what it says
	 */
	CallerHead readCaller(Map<String, String> headers);

	/**
	 * Makes the headers of an attempt: the caller's, without those that are only for this
	 * process or that the caller may not set, and those of the attempt.
	 * @param callerHeaders the caller's headers by lower-case name
	 * @param attempt what the server is told
	 * @return the headers
	 */
	Map<String, String> toBackend(Map<String, String> callerHeaders, AttemptHead attempt);

	/**
	 * Reads what a server says of its answer.
	 * @param status the HTTP status
	 * @param headers its headers by lower-case name
	 * @return what it says
	 */
	AnswerHead readAnswer(int status, Map<String, String> headers);

	/**
	 * Makes the headers by which a caller tells our own answers apart.
	 * @param requestId the caller's id of its request, may be {@code null}
	 * @return the headers
	 */
	Map<String, String> ownAnswer(String requestId);

}
