package org.snowwind.gateway.request;

/**
 * Metadata about an attempt that is sent to the backend server in request headers.
 *
 * @param serverId the id of the server incarnation that the attempt is addressed to
 * @param remainingMillis the time until the request's deadline, in milliseconds
 * @param organisation the organisation that sent the request; {@code null} if it is not
 * known
 * @param lastEventId id of the last event that was delivered to the caller; {@code null}
 * to start at the beginning
 * @param host the host of the caller's request
 * @param priority the priority of the request from 0, the most urgent, to 9; negative if
 * the server is told none
 */
public record AttemptMetadata(String serverId, long remainingMillis, String organisation, String lastEventId,
		String host, int priority) {

}
