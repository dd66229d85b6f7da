package org.snowwind.gateway.expert;

import java.util.List;

import org.snowwind.gateway.registry.BackendIncarnation;

/**
 * The number of times that a rank's requests chose each expert since the rank started.
 *
 * @param epoch the epoch of its group
 * @param counts the counts of all experts of the first set, then of the second, and so on
 * @param bornMillis the start time of the rank, in Unix milliseconds by its own clock;
 * {@link BackendIncarnation#UNKNOWN} if it is not known
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
	 * @param sets the number of sets
	 * @param experts the number of experts in a set
	 * @return the counts by set and expert; missing counts are 0
	 */
	long[][] bySet(int sets, int experts) {
		long[][] bySet = new long[sets][experts];
		for (int i = 0; i < Math.min(this.counts.size(), sets * experts); i++) {
			bySet[i / experts][i % experts] = this.counts.get(i);
		}
		return bySet;
	}

}
