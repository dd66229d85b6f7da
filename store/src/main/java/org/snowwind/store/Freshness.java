package org.snowwind.store;

import java.util.Optional;

import org.snowwind.model.EraRevision;
import org.snowwind.model.MonotonicClock;

/**
 * The time up to which a copy of the store's objects is known to contain every
 * acknowledged change, and whether a peer has reported a change that the copy lacks.
 *
 * <p>
 * A response proves the state at the time when its call was sent, because the network
 * delay is unknown. A claim of a peer proves the same for this copy if the copy contains
 * every change that the peer knows. Thread-safe.
 */
public final class Freshness {

	/**
	 * The time for which a peer is ignored that reported a change unknown to the store.
	 */
	private static final long DISTRUST_MILLIS = 30_000;

	private final MonotonicClock clock;

	private long confirmedMillis;

	private boolean confirmed;

	private EraRevision knownRevision = EraRevision.NONE;

	private EraRevision changedRevision = EraRevision.NONE;

	private EraRevision coveredRevision = EraRevision.NONE;

	private EraRevision toldRevision = EraRevision.NONE;

	private String toldBy = "";

	private long toldMillis;

	private String distrusted = "";

	private long distrustedUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates the freshness of an empty copy.
	 * @param clock the clock
	 */
	public Freshness(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records a response of the store.
	 * @param asOfMillis the time before which every acknowledged change is in the copy,
	 * in milliseconds
	 * @param known the store's revision up to which the copy contains changes
	 * @param changed the revision of a change in the copy, {@link EraRevision#NONE} if
	 * the response contains none
	 * @param covered the revision after which there was no change at that time,
	 * {@link EraRevision#NONE} if the response contains no change
	 */
	public synchronized void answered(long asOfMillis, EraRevision known, EraRevision changed, EraRevision covered) {
		confirm(asOfMillis);
		this.knownRevision = EraRevision.newest(this.knownRevision, known);
		this.changedRevision = EraRevision.newest(this.changedRevision, changed);
		this.coveredRevision = EraRevision.newest(this.coveredRevision, covered);
		if (isBehind() && asOfMillis >= this.toldMillis) {
			this.distrusted = this.toldBy;
			this.distrustedUntilMillis = this.clock.nowMillis() + DISTRUST_MILLIS;
			this.toldRevision = EraRevision.NONE;
		}
	}

	/**
	 * Records the claim of a peer about its copy.
	 * @param claim the claim
	 * @param peer the peer's name or address
	 * @param madeMillis the earliest time at which the claim can have been made, in
	 * milliseconds; {@link Long#MIN_VALUE} if it is not known
	 */
	public synchronized void claimed(Claim claim, String peer, long madeMillis) {
		if (!claim.isValid()) {
			return;
		}
		long nowMillis = this.clock.nowMillis();
		boolean proves = madeMillis != Long.MIN_VALUE && madeMillis <= nowMillis
				&& claim.ageMillis() < unconfirmedMillis();
		if (proves && this.knownRevision.includes(claim.coveredRevision())) {
			confirm(madeMillis - claim.ageMillis());
		}
		boolean believed = !peer.equals(this.distrusted) || nowMillis >= this.distrustedUntilMillis;
		if (believed
				&& claim.changedRevision().isNewerThan(EraRevision.newest(this.knownRevision, this.toldRevision))) {
			this.toldMillis = isBehind() ? this.toldMillis : nowMillis;
			this.toldRevision = claim.changedRevision();
			this.toldBy = peer;
		}
	}

	private void confirm(long asOfMillis) {
		this.confirmedMillis = this.confirmed ? Math.max(this.confirmedMillis, asOfMillis) : asOfMillis;
		this.confirmed = true;
	}

	/**
	 * Returns the claim of this process to its peers.
	 * @return the current claim, empty before the first response of the store
	 */
	public synchronized Optional<Claim> claim() {
		return this.confirmed ? Optional.of(new Claim(this.changedRevision, this.coveredRevision, unconfirmedMillis()))
				: Optional.empty();
	}

	/**
	 * Returns the time since the copy was last confirmed.
	 * @return the time, in milliseconds; {@link Long#MAX_VALUE} if it never was
	 */
	public synchronized long unconfirmedMillis() {
		return this.confirmed ? Math.max(0, this.clock.nowMillis() - this.confirmedMillis) : Long.MAX_VALUE;
	}

	/**
	 * Returns the era of the store that the copy is of.
	 * @return the era, 0 if the store reports none or has not answered
	 */
	public synchronized long era() {
		return this.knownRevision.era();
	}

	/**
	 * Returns whether the copy is confirmed as of a time.
	 * @param millis the time, in milliseconds
	 * @return true if the store has answered a later call of this process or of a peer
	 */
	synchronized boolean isConfirmedAsOf(long millis) {
		return this.confirmed && this.confirmedMillis >= millis;
	}

	/**
	 * Returns whether a peer has reported a change that the copy lacks.
	 * @return true if one has
	 */
	public synchronized boolean isBehind() {
		return this.toldRevision.isNewerThan(this.knownRevision);
	}

	/**
	 * Returns how long ago a peer reported a change that the copy lacks.
	 * @return the time, in milliseconds; 0 if none has
	 */
	public synchronized long behindMillis() {
		return isBehind() ? this.clock.nowMillis() - this.toldMillis : 0;
	}

	/**
	 * Returns when the copy was first known to be behind.
	 * @return the time, in milliseconds
	 */
	synchronized long toldAtMillis() {
		return this.toldMillis;
	}

	/**
	 * The claim of a process about its copy.
	 *
	 * @param changedRevision the revision of a change in the copy,
	 * {@link EraRevision#NONE} if there is none
	 * @param coveredRevision the revision after which the process knows of no change; a
	 * copy with all changes up to this revision is as current
	 * @param ageMillis the time since it was confirmed that there is no later change, in
	 * milliseconds
	 */
	public record Claim(EraRevision changedRevision, EraRevision coveredRevision, long ageMillis) {

		private boolean isValid() {
			return this.coveredRevision.number() > 0 && !this.changedRevision.isNewerThan(this.coveredRevision)
					&& this.ageMillis >= 0;
		}

	}

}
