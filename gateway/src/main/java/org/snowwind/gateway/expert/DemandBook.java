package org.snowwind.gateway.expert;

import java.util.Arrays;
import java.util.List;

/**
 * The recent demand for each expert. Thread-safe.
 *
 * <p>
 * Requests are distributed over ranks and groups at random, so the choices of a few ranks
 * are a sample of the demand of all. Demand shifts suddenly every few seconds and is
 * stable in between, so a detected shift discards all earlier choices.
 */
final class DemandBook {

	/** The minimum number of choices of a set for the detection of a shift. */
	private static final double LEAST_CHOICES = 500;

	/**
	 * The maximum weight of one rank's choices of a set. A long prompt causes fifty times
	 * as many choices as all streams of a rank, most of them of its own subject. Without
	 * a maximum, single prompts would change the map.
	 */
	private static final double MOST_CHOICES = 1000;

	/**
	 * The time after a shift in which only a very large share is another shift, in
	 * milliseconds. The few choices that are known then are mostly of single prompts, and
	 * differ from every later sample.
	 */
	private static final long SETTLE_MILLIS = 800;

	private final double[][] weights;

	private final double halfLifeMillis;

	private final MoveThreshold threshold = new MoveThreshold();

	private long asOfMillis = Long.MIN_VALUE;

	private long settledMillis = Long.MIN_VALUE;

	private String lastReader = "";

	/**
	 * Creates a book without choices.
	 * @param sets the number of sets of experts
	 * @param experts the number of experts in a set
	 * @param halfLifeMillis the half-life of the weight of choices, in milliseconds
	 */
	DemandBook(int sets, int experts, double halfLifeMillis) {
		this.weights = new double[sets][experts];
		this.halfLifeMillis = halfLifeMillis;
	}

	/**
	 * Adds the choices since the last read, and discards all earlier ones if demand has
	 * shifted.
	 * @param group the group whose ranks were read
	 * @param chosenByRank the number of choices by set and expert, for each rank
	 * @param passesJumped whether the pass time has just jumped
	 * @param nowMillis the time, in milliseconds
	 * @return whether demand has shifted, and how far
	 */
	synchronized Move add(String group, List<long[][]> chosenByRank, boolean passesJumped, long nowMillis) {
		double[][] chosen = scaledSum(chosenByRank);
		double movedShare = movedShare(chosen);
		double movedBeyond = movedBeyond(passesJumped, nowMillis);
		// A read after a jump may span a shift, so it says nothing about the noise.
		boolean learns = !passesJumped && nowMillis >= this.settledMillis;
		boolean moved = learns ? this.threshold.exceededBy(movedShare) : movedShare > movedBeyond;
		take(group, chosen, moved, nowMillis);
		return new Move(moved, movedShare, movedBeyond);
	}

	private double movedBeyond(boolean passesJumped, long nowMillis) {
		if (nowMillis < this.settledMillis) {
			return MoveThreshold.MOST;
		}
		return passesJumped ? this.threshold.shareAfterJump() : this.threshold.share();
	}

	/**
	 * Replaces all choices with those since a shift of demand.
	 * @param group the group whose ranks were read
	 * @param chosenByRank the number of choices by set and expert, for each rank
	 * @param nowMillis the time, in milliseconds
	 */
	synchronized void replace(String group, List<long[][]> chosenByRank, long nowMillis) {
		take(group, scaledSum(chosenByRank), true, nowMillis);
	}

	private void take(String group, double[][] chosen, boolean moved, long nowMillis) {
		this.lastReader = group;
		double kept = moved ? 0
				: Math.pow(0.5, Math.max(0, (double) nowMillis - this.asOfMillis) / this.halfLifeMillis);
		this.settledMillis = moved ? nowMillis + SETTLE_MILLIS : this.settledMillis;
		this.asOfMillis = nowMillis;
		for (int set = 0; set < this.weights.length; set++) {
			for (int expert = 0; expert < this.weights[set].length; expert++) {
				this.weights[set][expert] = kept * this.weights[set][expert] + chosen[set][expert];
			}
		}
	}

	private double[][] scaledSum(List<long[][]> chosenByRank) {
		double[][] sum = new double[this.weights.length][this.weights[0].length];
		for (long[][] chosen : chosenByRank) {
			for (int set = 0; set < sum.length; set++) {
				double scale = Math.min(1, MOST_CHOICES / Math.max(1, Arrays.stream(chosen[set]).sum()));
				for (int expert = 0; expert < sum[set].length; expert++) {
					sum[set][expert] += scale * chosen[set][expert];
				}
			}
		}
		return sum;
	}

	private double movedShare(double[][] chosen) {
		double sum = 0;
		for (int set = 0; set < chosen.length; set++) {
			double before = Arrays.stream(this.weights[set]).sum();
			double now = Arrays.stream(chosen[set]).sum();
			if (before < LEAST_CHOICES || now < LEAST_CHOICES) {
				return 0;
			}
			sum += distance(this.weights[set], before, chosen[set], now);
		}
		return sum / chosen.length;
	}

	private static double distance(double[] before, double beforeSum, double[] now, double nowSum) {
		double distance = 0;
		for (int expert = 0; expert < now.length; expert++) {
			distance += Math.abs(now[expert] / nowSum - before[expert] / beforeSum);
		}
		return distance / 2;
	}

	/**
	 * Returns whether the last choices were read by a group.
	 * @param group the group's name
	 * @return false if another group has read since
	 */
	synchronized boolean lastReadBy(String group) {
		return this.lastReader.equals(group);
	}

	/**
	 * Returns when choices were last read.
	 * @return the time, in milliseconds; {@link Long#MIN_VALUE} if none were
	 */
	synchronized long asOfMillis() {
		return this.asOfMillis;
	}

	/**
	 * Returns the demand.
	 * @return weights by set and expert
	 */
	synchronized double[][] demand() {
		double[][] copy = new double[this.weights.length][];
		for (int set = 0; set < copy.length; set++) {
			copy[set] = this.weights[set].clone();
		}
		return copy;
	}

	/**
	 * Returns the amount of evidence.
	 * @return the sum of the weights of the first set
	 */
	synchronized double evidence() {
		double sum = 0;
		for (double weight : this.weights[0]) {
			sum += weight;
		}
		return sum;
	}

	/**
	 * The difference between new choices and the demand so far.
	 *
	 * @param moved whether demand has shifted
	 * @param share the fraction of the choices that went to other experts than before
	 * @param threshold the share above which demand has shifted
	 */
	record Move(boolean moved, double share, double threshold) {

	}

}
