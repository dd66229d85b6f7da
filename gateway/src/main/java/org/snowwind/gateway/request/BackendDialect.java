package org.snowwind.gateway.request;

import java.util.Map;

/**
 * Translates between metadata and the HTTP headers that the callers and backend servers
 * of one platform use.
 */
public interface BackendDialect {

	/**
	 * Reads the metadata of a caller's request.
	 * @param headers the request headers by lower-case name
	 * @return the metadata
	 */
	RequestMetadata readRequest(Map<String, String> headers);

	/**
	 * Creates the request headers of an attempt. They consist of the caller's headers,
	 * without those that only this process reads or that the caller may not set, and of
	 * the headers for the attempt's metadata.
	 * @param callerHeaders the caller's headers by lower-case name
	 * @param attempt the metadata for the backend server
	 * @return the headers
	 */
	Map<String, String> backendRequestHeaders(Map<String, String> callerHeaders, AttemptMetadata attempt);

	/**
	 * Reads the metadata of a backend server's response.
	 * @param status the HTTP status
	 * @param headers the response headers by lower-case name
	 * @return the metadata
	 */
	ResponseMetadata readResponse(int status, Map<String, String> headers);

	/**
	 * Creates the headers by which a caller recognises a response that the gateway itself
	 * generated.
	 * @param requestId the caller's id of its request, may be {@code null}
	 * @return the headers
	 */
	Map<String, String> gatewayResponseHeaders(String requestId);

}
