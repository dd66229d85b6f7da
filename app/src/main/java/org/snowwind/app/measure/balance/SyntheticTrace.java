package org.snowwind.app.measure.balance;

import java.util.Random;
import java.util.function.DoubleUnaryOperator;

/**
 * Two popularities of experts, one fading into the other, with noise.
 *
 * <p>
 * Popularity falls with rank as in Zipf's law, in an order that the seed draws for each
 * layer.
 */
final class SyntheticTrace implements DemandTrace {

	private static final double TOKENS = 10_000;

	private final String name;

	private final int periods;

	private final double noise;

	private final DoubleUnaryOperator blend;

	private final double[][] first;

	private final double[][] second;

	private final long seed;

	SyntheticTrace(String name, TraceShape shape, int periods, long seed, DoubleUnaryOperator blend) {
		this.name = name;
		this.periods = periods;
		this.noise = shape.noise();
		this.blend = blend;
		this.seed = seed;
		Random random = new Random(seed);
		this.first = popularity(shape, random);
		this.second = popularity(shape, random);
	}

	private static double[][] popularity(TraceShape shape, Random random) {
		double[][] all = new double[shape.layers()][shape.experts()];
		for (double[] layer : all) {
			double sum = 0;
			for (int expert = 0; expert < layer.length; expert++) {
				layer[expert] = 1 / Math.pow(1 + random.nextInt(layer.length), shape.exponent());
				sum += layer[expert];
			}
			for (int expert = 0; expert < layer.length; expert++) {
				layer[expert] *= TOKENS / sum;
			}
		}
		return all;
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public int periods() {
		return this.periods;
	}

	@Override
	public double[][] demandAt(int period) {
		Random random = new Random(this.seed * 31 + period);
		double share = this.blend.applyAsDouble((double) period / this.periods);
		double[][] demand = new double[this.first.length][this.first[0].length];
		for (int layer = 0; layer < demand.length; layer++) {
			for (int expert = 0; expert < demand[layer].length; expert++) {
				double mean = (1 - share) * this.first[layer][expert] + share * this.second[layer][expert];
				demand[layer][expert] = Math.max(0, mean * (1 + this.noise * random.nextGaussian()));
			}
		}
		return demand;
	}

	/**
	 * The size of a trace and the shape of its popularity.
	 *
	 * @param layers how many layers
	 * @param experts how many experts each has
	 * @param exponent how fast popularity falls with rank
	 * @param noise the relative noise of each period
	 */
	record TraceShape(int layers, int experts, double exponent, double noise) {

	}

}
