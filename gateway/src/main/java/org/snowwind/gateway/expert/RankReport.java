package org.snowwind.gateway.expert;

import org.snowwind.gateway.registry.BackendIncarnation;

/**
 * The state of a rank some hundred milliseconds ago.
 *
 * @param group the name of its group; {@code null} if it is in none
 * @param epoch the epoch of the group, which increases each time the group is formed
 * @param rank its number in the group
 * @param size the number of ranks in the group
 * @param open whether the group accepts requests
 * @param step the last pass that was started
 * @param mapVersion the version of the current expert map
 * @param preparedVersion the version whose experts were copied; 0 for none
 * @param armedVersion the version that becomes current at a future pass; 0 for none
 * @param heldStep the pass that is held; -1 for none
 * @param bornMillis the start time of the rank, in Unix milliseconds by its own clock;
 * {@link BackendIncarnation#UNKNOWN} if it is not known
 */
public record RankReport(String group, long epoch, int rank, int size, boolean open, long step, long mapVersion,
		long preparedVersion, long armedVersion, long heldStep, long bornMillis) {

	/** No pass is held. */
	public static final long NOT_HELD = -1;

	/**
	 * Returns whether this rank holds a pass.
	 * @return true if it does
	 */
	public boolean held() {
		return this.heldStep != NOT_HELD;
	}

	/**
	 * Returns the highest version that this rank knows.
	 * @return the version
	 */
	public long highestVersion() {
		return Math.max(this.mapVersion, Math.max(this.preparedVersion, this.armedVersion));
	}

}
