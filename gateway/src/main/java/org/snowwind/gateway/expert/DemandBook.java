package org.snowwind.gateway.expert;

/**
 * How much each expert has been asked for lately. Several threads add to it.
 *
 * <p>
 * Requests are spread over ranks and groups by chance, so that what the requests of a few
 * ranks chose tells what those of all will choose.
 */
final class DemandBook {

	private final double[][] weights;

	private final double halfLifeMillis;

	private long asOfMillis;

	/**
	 * Creates a book that knows nothing.
	 * @param sets how many sets of experts there are
	 * @param experts how many experts a set has
	 * @param halfLifeMillis how fast what was chosen before is forgotten, in milliseconds
	 */
	DemandBook(int sets, int experts, double halfLifeMillis) {
		this.weights = new double[sets][experts];
		this.halfLifeMillis = halfLifeMillis;
	}

	/**
	 * Adds what was chosen since a rank was last read.
	 * @param chosen how often, by set and expert
	 * @param nowMillis the time, in milliseconds
	 */
	synchronized void add(long[][] chosen, long nowMillis) {
		double kept = Math.pow(0.5, Math.max(0, nowMillis - this.asOfMillis) / this.halfLifeMillis);
		this.asOfMillis = nowMillis;
		for (int set = 0; set < this.weights.length; set++) {
			for (int expert = 0; expert < this.weights[set].length; expert++) {
				this.weights[set][expert] = kept * this.weights[set][expert] + chosen[set][expert];
			}
		}
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
	 * Tells how much is known.
	 * @return the sum of the first set's weights
	 */
	synchronized double evidence() {
		double sum = 0;
		for (double weight : this.weights[0]) {
			sum += weight;
		}
		return sum;
	}

}
