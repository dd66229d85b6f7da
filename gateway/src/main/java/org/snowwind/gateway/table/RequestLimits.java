package org.snowwind.gateway.table;

/**
 * What a caller may send.
 *
 * @param maxBodyBytes the largest body, in bytes
 * @param idleTimeoutMillis how long a connection may stay idle, in milliseconds
 */
public record RequestLimits(int maxBodyBytes, long idleTimeoutMillis) {

}
