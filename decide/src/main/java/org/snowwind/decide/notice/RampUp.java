package org.snowwind.decide.notice;

/**
 * Ramp-up of one of many processes that send requests to a server after its backoff.
 *
 * <p>
 * Processes that were rejected at the same time would otherwise all return at the same
 * time, fill the queue of the server and be rejected again. Those that do not fit into
 * its slots therefore start at random offsets, spread over the time that the server needs
 * for one request of each. Each process increases its rate until the reports of its peers
 * show the load of the server.
 *
 * @param spreadMillis the time in which the server can take one request from every
 * process, in milliseconds
 * @param offsetMillis when this process starts to send, in milliseconds after the backoff
 */
public record RampUp(long spreadMillis, long offsetMillis) {

	/** Sends requests without restriction as soon as the backoff is over. */
	public static final RampUp UNRESTRICTED = new RampUp(0, 0);

	/** The share of its throughput that a server gets during the ramp-up. */
	private static final double RAMP_UP_SHARE = 0.5;

	/** The response time assumed for a server without a known one, in milliseconds. */
	private static final double DEFAULT_RESPONSE_MILLIS = 50;

	/** A spread up to this length is never shortened, in milliseconds. */
	private static final long MIN_SPREAD_CAP_MILLIS = 1000;

	/** The number of spreads for which the rate is restricted. */
	private static final int RAMP_UP_SPREADS = 4;

	/**
	 * Computes the ramp-up of this process.
	 * @param processes how many processes may send requests to the server
	 * @param responseMillis the mean response time of the server, in milliseconds; 0 if
	 * not known
	 * @param slots how many requests the server runs at once
	 * @param backoffMillis the length of the backoff, in milliseconds
	 * @param randomFraction a random number from 0 to 1
	 * @return the ramp-up
	 */
	public static RampUp of(int processes, double responseMillis, int slots, long backoffMillis,
			double randomFraction) {
		double perRequestMillis = ((responseMillis > 0) ? responseMillis : DEFAULT_RESPONSE_MILLIS)
				/ Math.max(1, slots);
		double maxSpreadMillis = Math.max(MIN_SPREAD_CAP_MILLIS, backoffMillis);
		double spread = Math.min(maxSpreadMillis, processes * perRequestMillis / RAMP_UP_SHARE);
		double startRange = Math.min(maxSpreadMillis,
				Math.max(0, processes - slots) * perRequestMillis / RAMP_UP_SHARE);
		return new RampUp((long) spread, (long) (startRange * randomFraction));
	}

	/**
	 * Returns the minimum time between two requests.
	 * @param sinceReturnMillis the time since the first request could be sent, in
	 * milliseconds
	 * @return the time, in milliseconds; 0 once the rate is not restricted
	 */
	long intervalMillis(long sinceReturnMillis) {
		double left = 1 - sinceReturnMillis / (double) Math.max(1, RAMP_UP_SPREADS * this.spreadMillis);
		return (long) (this.spreadMillis * Math.max(0, Math.min(1, left)));
	}

}
