package org.snowwind.http.client;

/**
 * Limits how many bytes of responses a client holds.
 *
 * <p>
 * The limits count what is received, with heads, interim responses and framing. They do
 * not count what parsed documents take.
 *
 * @param maxResponseBytes the largest response, in bytes
 * @param maxTotalBytes the sum of all unfinished responses, in bytes
 */
public record ResponseLimits(long maxResponseBytes, long maxTotalBytes) {

	/**
	 * Limits for the platform's store, whose pages have about 1 MB and whose values have
	 * 1,048,576 bytes. The sum allows for three of the largest responses at once.
	 */
	public static final ResponseLimits STORE = new ResponseLimits(4 << 20, 12 << 20);

	/**
	 * Checks the limits.
	 * @param maxResponseBytes the largest response, in bytes
	 * @param maxTotalBytes the sum of all unfinished responses, in bytes
	 */
	public ResponseLimits {
		if (maxResponseBytes <= 0 || maxTotalBytes < maxResponseBytes) {
			throw new IllegalArgumentException("expected 0 < maxResponseBytes <= maxTotalBytes, got " + maxResponseBytes
					+ " and " + maxTotalBytes);
		}
	}

}
