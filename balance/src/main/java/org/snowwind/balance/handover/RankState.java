package org.snowwind.balance.handover;

/**
 * What a rank says of itself.
 *
 * @param rank its place in the group
 * @param ballot the highest ballot that it has seen
 * @param generation the map that it runs
 * @param nextStep the step that it runs next
 * @param boundBallot the ballot by which it is bound, 0 if it is not
 * @param boundGeneration the map that it is bound to
 * @param boundStep the step from which on it is bound
 * @param confirmed whether that is confirmed
 */
public record RankState(int rank, long ballot, long generation, long nextStep, long boundBallot, long boundGeneration,
		long boundStep, boolean confirmed) {

	/**
	 * Tells whether the rank is bound by a ballot.
	 * @param byBallot the ballot
	 * @return true if it is
	 */
	public boolean boundBy(long byBallot) {
		return this.boundBallot == byBallot;
	}

}
