package org.snowwind.gateway.expert;

import org.snowwind.gateway.registry.BackendIncarnation;

/**
 * What a rank says of itself, as of some hundred milliseconds ago.
 *
 * @param group the name of its group; {@code null} if it is in none
 * @param epoch the epoch of the group, which is higher after each time it was formed
 * @param rank its place in the group
 * @param size how many ranks the group has
 * @param open whether the group takes requests
 * @param step the last pass that was begun
 * @param mapVersion the version of the expert map that it runs
 * @param preparedVersion the version whose experts it has copied; 0 for none
 * @param armedVersion the version that it will run from some pass on; 0 for none
 * @param heldStep the pass that it may not begin; -1 for none
 * @param bornMillis when it was started, in Unix milliseconds by its own clock;
 * {@link BackendIncarnation#UNKNOWN} if it does not say
 */
public record RankReport(String group, long epoch, int rank, int size, boolean open, long step, long mapVersion,
		long preparedVersion, long armedVersion, long heldStep, long bornMillis) {

	/** No pass is held. */
	public static final long NOT_HELD = -1;

	/**
	 * Tells whether a pass is held on this rank.
	 * @return true if one is
	 */
	public boolean held() {
		return this.heldStep != NOT_HELD;
	}

	/**
	 * Returns the highest version that this rank has heard of.
	 * @return the version
	 */
	public long highestVersion() {
		return Math.max(this.mapVersion, Math.max(this.preparedVersion, this.armedVersion));
	}

}
