package org.snowwind.gateway.table;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param idleTimeoutMillis the time after which an idle connection is closed, in
 * milliseconds
 */
public record RequestLimits(int maxBodyBytes, long idleTimeoutMillis) {

}
