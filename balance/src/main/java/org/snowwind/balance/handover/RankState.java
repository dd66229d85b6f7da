package org.snowwind.balance.handover;

/**
 * State of a rank, as the rank reports it.
 *
 * @param rank the index of the rank in the group
 * @param ballot the highest ballot that the rank has seen
 * @param generation the generation of the map that the rank runs
 * @param nextStep the next step that the rank will run
 * @param boundBallot the ballot of the bind that is in force, 0 if there is none
 * @param boundGeneration the generation of the map that the rank is bound to run
 * @param boundStep the step at which it will switch to that map
 * @param confirmed whether the bind is confirmed
 */
public record RankState(int rank, long ballot, long generation, long nextStep, long boundBallot, long boundGeneration,
		long boundStep, boolean confirmed) {

	/**
	 * Returns whether the rank is bound by a ballot.
	 * @param byBallot the ballot
	 * @return true if the bind in force has this ballot
	 */
	public boolean boundBy(long byBallot) {
		return this.boundBallot == byBallot;
	}

}
