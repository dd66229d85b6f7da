package org.snowwind.gateway.expert;

import java.util.List;

import org.snowwind.gateway.registry.BackendIncarnation;

/**
 * How often a rank's requests chose each expert since the rank started.
 *
 * @param epoch the epoch of its group
 * @param counts how often, all experts of the first set, then all of the second, and so
 * on
 * @param bornMillis when the rank was started, in Unix milliseconds by its own clock;
 * {@link BackendIncarnation#UNKNOWN} if it does not say
 */
public record RankCounts(long epoch, List<Long> counts, long bornMillis) {

	/**
	 * Copies the counts.
	 */
	public RankCounts {
		counts = List.copyOf(counts);
	}

	/**
	 * Arranges the counts by set.
	 * @param sets how many sets there are
	 * @param experts how many experts a set has
	 * @return the counts by set and expert; what is missing is 0
	 */
	long[][] bySet(int sets, int experts) {
		long[][] bySet = new long[sets][experts];
		for (int i = 0; i < Math.min(this.counts.size(), sets * experts); i++) {
			bySet[i / experts][i % experts] = this.counts.get(i);
		}
		return bySet;
	}

}
