package org.snowwind.balance.demand;

/**
 * An exponentially weighted estimate, with a trend, of the tokens that each expert gets.
 *
 * <p>
 * A missing count leaves the level and lets the trend fade, so that a gap is never taken
 * for silence.
 */
public final class DemandEstimate {

	private final double levelShare;

	private final double trendShare;

	private final double[][] level;

	private final double[][] trend;

	private boolean begun;

	/**
	 * Creates an estimate that knows nothing.
	 * @param layers how many layers there are
	 * @param experts how many experts each has
	 * @param levelShare how much a new count weighs, from 0 to 1
	 * @param trendShare how much a new change weighs, from 0 to 1
	 */
	public DemandEstimate(int layers, int experts, double levelShare, double trendShare) {
		this.levelShare = levelShare;
		this.trendShare = trendShare;
		this.level = new double[layers][experts];
		this.trend = new double[layers][experts];
	}

	/**
	 * Takes note of one period's counts.
	 * @param counts tokens by layer and expert; a {@code null} layer is a gap
	 */
	public void observe(double[][] counts) {
		for (int layer = 0; layer < this.level.length; layer++) {
			if (counts[layer] == null) {
				fade(this.trend[layer]);
			}
			else {
				observe(layer, counts[layer]);
			}
		}
		this.begun = true;
	}

	private void observe(int layer, double[] counts) {
		for (int expert = 0; expert < counts.length; expert++) {
			double before = this.level[layer][expert];
			if (!this.begun) {
				this.level[layer][expert] = counts[expert];
				continue;
			}
			double expected = before + this.trend[layer][expert];
			double after = expected + this.levelShare * (counts[expert] - expected);
			this.level[layer][expert] = Math.max(0, after);
			this.trend[layer][expert] += this.trendShare * (after - before - this.trend[layer][expert]);
		}
	}

	private void fade(double[] trends) {
		for (int expert = 0; expert < trends.length; expert++) {
			trends[expert] *= 1 - this.trendShare;
		}
	}

	/**
	 * Returns what is expected some periods ahead.
	 * @param periods how far ahead
	 * @return tokens by layer and expert
	 */
	public double[][] ahead(double periods) {
		double[][] expected = new double[this.level.length][];
		for (int layer = 0; layer < expected.length; layer++) {
			expected[layer] = new double[this.level[layer].length];
			for (int expert = 0; expert < expected[layer].length; expert++) {
				expected[layer][expert] = Math.max(0, this.level[layer][expert] + periods * this.trend[layer][expert]);
			}
		}
		return expected;
	}

}
