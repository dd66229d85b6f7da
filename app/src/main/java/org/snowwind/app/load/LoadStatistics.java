package org.snowwind.app.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Times that callers measured.
 */
public final class LoadStatistics {

	private static final int DIGITS = 3;

	private static final double NANOS_PER_MILLI = 1e6;

	private final ConcurrentMap<String, Histogram> firstToken = new ConcurrentHashMap<>();

	private final Histogram betweenTokens = new ConcurrentHistogram(DIGITS);

	void firstToken(String organisation, long nanos) {
		this.firstToken.computeIfAbsent(organisation, (name) -> new ConcurrentHistogram(DIGITS)).recordValue(nanos);
	}

	void betweenTokens(long nanos) {
		this.betweenTokens.recordValue(nanos);
	}

	/**
	 * Returns a percentile of the time to the first token.
	 * @param percentile from 0 to 100
	 * @return milliseconds
	 */
	public double firstTokenMillis(double percentile) {
		Histogram all = new Histogram(DIGITS);
		this.firstToken.values().forEach(all::add);
		return all.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
	}

	/**
	 * Returns a percentile of the time to the first token of one organisation.
	 * @param organisation its name
	 * @param percentile from 0 to 100
	 * @return milliseconds, 0 if it got no token
	 */
	public double firstTokenMillis(String organisation, double percentile) {
		Histogram own = Map.copyOf(this.firstToken).get(organisation);
		return (own != null) ? own.getValueAtPercentile(percentile) / NANOS_PER_MILLI : 0;
	}

	/**
	 * Returns a percentile of the time between tokens.
	 * @param percentile from 0 to 100
	 * @return milliseconds
	 */
	public double betweenTokensMillis(double percentile) {
		return this.betweenTokens.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
	}

	/**
	 * Counts the tokens that arrived.
	 * @return a number of tokens
	 */
	public long tokens() {
		return this.betweenTokens.getTotalCount()
				+ this.firstToken.values().stream().mapToLong(Histogram::getTotalCount).sum();
	}

}
