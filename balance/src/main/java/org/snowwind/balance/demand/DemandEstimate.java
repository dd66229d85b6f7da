package org.snowwind.balance.demand;

/**
 * Adaptive estimate of the tokens that each expert gets. It averages over a long time
 * while prediction errors are noise, and over a short time while they have a trend.
 *
 * <p>
 * The weight of a new count is, for each expert, the square of the tracking signal (Trigg
 * and Leach): the smoothed error divided by the smoothed absolute error. Noise cancels
 * out in the smoothed error, but not in the smoothed absolute error; a drift cancels out
 * in neither. A missing count changes no estimate, so that a gap is not mistaken for a
 * lack of demand.
 */
public final class DemandEstimate {

	private static final double SIGNAL_SMOOTHING = 0.08;

	private static final double MIN_WEIGHT = 0.02;

	private static final double MAX_WEIGHT = 0.6;

	private static final double WARM_UP_COUNTS = 50;

	/** The rate at which past errors decay with each count of one expert. */
	private static final double ERROR_DECAY = 1e-4;

	private final double[][] level;

	private final double[][] error;

	private final double[][] absoluteError;

	private double varianceSum;

	private double levelSquares;

	private int counts;

	/**
	 * Creates an estimate without any counts.
	 * @param layers the number of layers
	 * @param experts the number of experts in each layer
	 */
	public DemandEstimate(int layers, int experts) {
		this.level = new double[layers][experts];
		this.error = new double[layers][experts];
		this.absoluteError = new double[layers][experts];
	}

	/**
	 * Updates the estimate with the counts of one period.
	 * @param periodCounts tokens by layer and expert; {@code null} for a layer without
	 * counts
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
			double previousLevel = this.level[layer][expert];
			double predictionError = periodCounts[expert] - previousLevel;
			boolean firstCount = this.absoluteError[layer][expert] == 0 && previousLevel == 0;
			if (firstCount) {
				this.level[layer][expert] = periodCounts[expert];
				this.absoluteError[layer][expert] = Double.MIN_NORMAL;
				continue;
			}
			double weight = weightOf(layer, expert, predictionError);
			this.level[layer][expert] = previousLevel + weight * predictionError;
			updateErrorStatistics(predictionError, weight, previousLevel);
		}
	}

	private double weightOf(int layer, int expert, double predictionError) {
		this.error[layer][expert] += SIGNAL_SMOOTHING * (predictionError - this.error[layer][expert]);
		this.absoluteError[layer][expert] += SIGNAL_SMOOTHING
				* (Math.abs(predictionError) - this.absoluteError[layer][expert]);
		double smoothedAbsoluteError = this.absoluteError[layer][expert];
		double signal = (smoothedAbsoluteError > 0) ? Math.abs(this.error[layer][expert]) / smoothedAbsoluteError : 0;
		double warmUp = Math.min(1, this.counts / WARM_UP_COUNTS);
		double weightByCount = 1.0 / (1 + this.counts);
		double weightBySignal = warmUp * signal * signal;
		return Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, Math.max(weightByCount, weightBySignal)));
	}

	private void updateErrorStatistics(double predictionError, double weight, double previousLevel) {
		double variance = predictionError * predictionError * weight / (2 - weight);
		this.varianceSum = this.varianceSum * (1 - ERROR_DECAY) + variance;
		this.levelSquares = this.levelSquares * (1 - ERROR_DECAY) + previousLevel * previousLevel;
	}

	/**
	 * Returns the relative error of the estimate, computed from the errors of past
	 * predictions.
	 * @return the standard error of the level of an expert, relative to the level
	 */
	public double relativeError() {
		return (this.levelSquares == 0) ? 0 : Math.sqrt(this.varianceSum / this.levelSquares);
	}

	/**
	 * Returns the expected demand.
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
