package org.snowwind.gateway.request;

/**
 * What a server is told about an attempt.
 *
 * @param serverId the run of the server that the attempt is meant for
 * @param remainingMillis the time that is left, in milliseconds
 * @param organisation whose request it is; {@code null} if nobody's
 * @param lastEventId the last event that was delivered; {@code null} to begin
 * @param host the host that the caller asked for
 */
public record AttemptHead(String serverId, long remainingMillis, String organisation, String lastEventId, String host) {

}
