package org.snowwind.decide.notice;

/**
 * How one of many processes returns to a server after a backoff.
 *
 * <p>
 * Load answered: processes that were rejected within the same moment would all return in
 * the same moment, fill the queue of the server and be rejected again. Those that do not
 * fit into its slots begin at random points of the time that it needs for them, and each
 * sends at growing rates until its peers' reports show the server's load.
 *
 * @param spreadMillis the time in which the server can take one request from every
 * process, in milliseconds
 * @param offsetMillis when this process begins, in milliseconds after the backoff
 */
public record ReturnPace(long spreadMillis, long offsetMillis) {

	/** Requests are sent again as soon as the backoff is over. */
	public static final ReturnPace AT_ONCE = new ReturnPace(0, 0);

	/** The part of its throughput that a returning server is given. */
	private static final double SHARE = 0.5;

	/** The response time of a server of which none is known, in milliseconds. */
	private static final double DEFAULT_ANSWER_MILLIS = 50;

	/** A spread of this length is never shortened, in milliseconds. */
	private static final long LEAST_CAP_MILLIS = 1000;

	/** The rate is restricted for so many spreads. */
	private static final int SPREADS = 4;

	/**
	 * Chooses a pace.
	 * @param processes how many processes may send requests to the server
	 * @param answerMillis the mean time of its answers, in milliseconds; 0 if not known
	 * @param slots how many requests it runs at once
	 * @param backoffMillis how long the backoff lasts, in milliseconds
	 * @param draw a random number from 0 to 1
	 * @return the pace
	 */
	public static ReturnPace of(int processes, double answerMillis, int slots, long backoffMillis, double draw) {
		double perRequestMillis = ((answerMillis > 0) ? answerMillis : DEFAULT_ANSWER_MILLIS) / Math.max(1, slots);
		double mostMillis = Math.max(LEAST_CAP_MILLIS, backoffMillis);
		double spread = Math.min(mostMillis, processes * perRequestMillis / SHARE);
		double begin = Math.min(mostMillis, Math.max(0, processes - slots) * perRequestMillis / SHARE);
		return new ReturnPace((long) spread, (long) (begin * draw));
	}

	/**
	 * Returns the least time between two requests.
	 * @param sinceReturnMillis the time since the first one could be sent, in
	 * milliseconds
	 * @return the time, in milliseconds; 0 once the rate is not restricted
	 */
	long intervalMillis(long sinceReturnMillis) {
		double left = 1 - sinceReturnMillis / (double) Math.max(1, SPREADS * this.spreadMillis);
		return (long) (this.spreadMillis * Math.max(0, Math.min(1, left)));
	}

}
