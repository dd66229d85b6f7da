package org.snowwind.decide.choice;

/**
 * The memory that a request needs at a server, and whether a server has it.
 *
 * <p>
 * Handles requests whose sizes differ by orders of magnitude: a limit on their number
 * does not keep a server within its memory, and a server over its memory loses all
 * requests that it holds.
 *
 * @param tokens the size of the request, in tokens
 * @param usualTokens the size of a usual request of the service, in tokens
 * @param memoryTokens the memory of a server, in tokens; 0 if it is not checked
 */
public record MemoryNeed(long tokens, double usualTokens, long memoryTokens) {

	/** The need of a request whose memory is not checked. */
	public static final MemoryNeed UNCHECKED = new MemoryNeed(0, 0, 0);

	/**
	 * The fraction of a server's memory that all known requests may fill. The rest is for
	 * requests that peers have sent since their last report.
	 */
	private static final double FILL_SHARE = 0.9;

	/**
	 * Returns whether the request fits into a server beside those that it holds. A server
	 * without requests takes any request up to its whole memory.
	 * @param ownTokens the sizes of this gateway's requests at the server, in tokens
	 * @param peerRequests the number of requests of other gateways at the server
	 * @return true if it fits or if memory is not checked
	 */
	public boolean fits(long ownTokens, int peerRequests) {
		if (this.memoryTokens <= 0) {
			return true;
		}
		double heldTokens = ownTokens + peerRequests * this.usualTokens;
		double limitTokens = (heldTokens > 0) ? FILL_SHARE * this.memoryTokens : this.memoryTokens;
		return heldTokens + this.tokens <= limitTokens;
	}

	/**
	 * Returns whether no server can run the request.
	 * @return true if it is larger than a server's whole memory
	 */
	public boolean exceedsServer() {
		return this.memoryTokens > 0 && this.tokens > this.memoryTokens;
	}

}
