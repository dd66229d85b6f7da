package org.snowwind.wire;

/**
 * Limits what other processes can make a control server hold.
 *
 * @param maxFrameBytes the largest frame, in bytes
 * @param maxTotalBytes the sum of all unfinished frames, in bytes
 * @param maxConnections the number of open connections; for one more, the connection that
 * has been idle the longest is closed
 * @param frameMillis the time that a frame may take to arrive, in milliseconds
 */
public record ControlLimits(int maxFrameBytes, long maxTotalBytes, int maxConnections, long frameMillis) {

	/**
	 * Limits for gateways: a report with 2,400 servers and 370 gateways has about 100 KB,
	 * and each of 370 gateways has up to two connections.
	 */
	public static final ControlLimits GATEWAY = new ControlLimits(1 << 20, 8 << 20, 800, 5000);

	/** Limits for entries and agents, which are sent whole configurations. */
	public static final ControlLimits DOCUMENTS = new ControlLimits(16_000_000, 32_000_000, 4096, 5000);

	/**
	 * The most elements of a list or map. Their space is reserved before they are read.
	 */
	static final int MAX_ELEMENTS = 65_536;

}
