package org.snowwind.balance.demand;

/**
 * An estimate of the tokens that each expert gets, which remembers long while errors are
 * noise and short while they have a direction.
 *
 * <p>
 * How much a new count weighs follows, for each expert, the square of the tracking signal
 * (Trigg and Leach): the smoothed error over the smoothed size of errors. Noise cancels
 * in the first and not in the second; a drift does not cancel. A missing count changes
 * nothing, so that a gap is never taken for silence.
 */
public final class DemandEstimate {

	private static final double SIGNAL_SHARE = 0.08;

	private static final double LEAST_SHARE = 0.02;

	private static final double MOST_SHARE = 0.6;

	private static final double FIRST_COUNTS = 50;

	/** What part of past errors is forgotten with each count of one expert. */
	private static final double MEMORY_LOSS = 1e-4;

	private final double[][] level;

	private final double[][] error;

	private final double[][] errorSize;

	private double varianceSum;

	private double levelSquares;

	private int counts;

	/**
	 * Creates an estimate that knows nothing.
	 * @param layers how many layers there are
	 * @param experts how many experts each has
	 */
	public DemandEstimate(int layers, int experts) {
		this.level = new double[layers][experts];
		this.error = new double[layers][experts];
		this.errorSize = new double[layers][experts];
	}

	/**
	 * Takes note of one period's counts.
	 * @param periodCounts tokens by layer and expert; a {@code null} layer is a gap
	 */
	public void observe(double[][] periodCounts) {
		this.counts++;
		for (int layer = 0; layer < this.level.length; layer++) {
			if (periodCounts[layer] != null) {
				observe(layer, periodCounts[layer]);
			}
		}
	}

	private void observe(int layer, double[] periodCounts) {
		for (int expert = 0; expert < periodCounts.length; expert++) {
			double before = this.level[layer][expert];
			double missed = periodCounts[expert] - before;
			boolean unseen = this.errorSize[layer][expert] == 0 && before == 0;
			if (unseen) {
				this.level[layer][expert] = periodCounts[expert];
				this.errorSize[layer][expert] = Double.MIN_NORMAL;
				continue;
			}
			double share = shareOf(layer, expert, missed);
			this.level[layer][expert] = before + share * missed;
			note(missed, share, before);
		}
	}

	private double shareOf(int layer, int expert, double missed) {
		this.error[layer][expert] += SIGNAL_SHARE * (missed - this.error[layer][expert]);
		this.errorSize[layer][expert] += SIGNAL_SHARE * (Math.abs(missed) - this.errorSize[layer][expert]);
		double size = this.errorSize[layer][expert];
		double signal = (size > 0) ? Math.abs(this.error[layer][expert]) / size : 0;
		double settled = Math.min(1, this.counts / FIRST_COUNTS);
		double byCount = 1.0 / (1 + this.counts);
		double bySignal = settled * signal * signal;
		return Math.min(MOST_SHARE, Math.max(LEAST_SHARE, Math.max(byCount, bySignal)));
	}

	private void note(double missed, double share, double before) {
		double variance = missed * missed * share / (2 - share);
		this.varianceSum = this.varianceSum * (1 - MEMORY_LOSS) + variance;
		this.levelSquares = this.levelSquares * (1 - MEMORY_LOSS) + before * before;
	}

	/**
	 * Tells how far the estimate is off, as far as past predictions show.
	 * @return the standard error of an expert's level, relative to the level
	 */
	public double relativeError() {
		return (this.levelSquares == 0) ? 0 : Math.sqrt(this.varianceSum / this.levelSquares);
	}

	/**
	 * Returns what is expected.
	 * @return tokens by layer and expert
	 */
	public double[][] expected() {
		double[][] expected = new double[this.level.length][];
		for (int layer = 0; layer < expected.length; layer++) {
			expected[layer] = this.level[layer].clone();
		}
		return expected;
	}

}
