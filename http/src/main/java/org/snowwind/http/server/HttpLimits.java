package org.snowwind.http.server;

/**
 * Bounds of an HTTP server.
 *
 * @param maxUriBytes the longest request line, in bytes
 * @param maxHeaderBytes the largest header block, in bytes
 * @param maxConnections how many connections may be open; for one more, a connection
 * without a request is closed, or the new one if there is none
 * @param readTimeoutMillis how long a caller may take to send a request, or stay idle, in
 * milliseconds
 */
public record HttpLimits(int maxUriBytes, int maxHeaderBytes, int maxConnections, long readTimeoutMillis) {

	/** Bounds that fit a small VM. */
	public static final HttpLimits DEFAULT = new HttpLimits(4096, 16 * 1024, 4096, 30_000);

}
