package org.snowwind.store;

import java.util.Optional;

import org.snowwind.model.MonotonicClock;

/**
 * As of when a copy of the store's objects is known to hold every acknowledged change,
 * and whether a peer has told of a change that it does not hold.
 *
 * <p>
 * An answer proves what was true when its call was sent; it may have been under way for
 * any time since. A peer's claim proves the same of this copy if the copy holds every
 * change that the peer knows. Thread-safe.
 */
public final class Freshness {

	/** So long a peer is not believed that told of a change which the store denies. */
	private static final long DISTRUST_MILLIS = 30_000;

	private final MonotonicClock clock;

	private long confirmedMillis;

	private boolean confirmed;

	private long knownRevision;

	private long changedRevision;

	private long coveredRevision;

	private long toldRevision;

	private String toldBy = "";

	private long toldMillis;

	private String distrusted = "";

	private long distrustedUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates the freshness of a copy that holds nothing yet.
	 * @param clock tells the time
	 */
	public Freshness(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records an answer of the store.
	 * @param asOfMillis the moment before which every acknowledged change is in the copy,
	 * in milliseconds
	 * @param known the store's revision up to which the copy holds changes
	 * @param changed a revision of a change that it holds, 0 if the answer names none
	 * @param covered the revision after which there was no change then, 0 if the answer
	 * tells of no change
	 */
	public synchronized void answered(long asOfMillis, long known, long changed, long covered) {
		confirm(asOfMillis);
		this.knownRevision = Math.max(this.knownRevision, known);
		this.changedRevision = Math.max(this.changedRevision, changed);
		this.coveredRevision = Math.max(this.coveredRevision, covered);
		if (isBehind() && asOfMillis >= this.toldMillis) {
			this.distrusted = this.toldBy;
			this.distrustedUntilMillis = this.clock.nowMillis() + DISTRUST_MILLIS;
			this.toldRevision = 0;
		}
	}

	/**
	 * Records what a peer claims of its copy.
	 * @param claim the claim
	 * @param peer the peer's name or address
	 * @param madeMillis a moment before which the claim was not made, in milliseconds;
	 * {@link Long#MIN_VALUE} if none is known
	 */
	public synchronized void claimed(Claim claim, String peer, long madeMillis) {
		if (!claim.isValid()) {
			return;
		}
		long nowMillis = this.clock.nowMillis();
		boolean proves = madeMillis != Long.MIN_VALUE && madeMillis <= nowMillis
				&& claim.ageMillis() < unconfirmedMillis();
		if (proves && claim.coveredRevision() <= this.knownRevision) {
			confirm(madeMillis - claim.ageMillis());
		}
		boolean believed = !peer.equals(this.distrusted) || nowMillis >= this.distrustedUntilMillis;
		if (believed && claim.changedRevision() > Math.max(this.knownRevision, this.toldRevision)) {
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
	 * Returns what this process may claim to its peers.
	 * @return the claim as of now, none before the first answer of the store
	 */
	public synchronized Optional<Claim> claim() {
		return this.confirmed ? Optional.of(new Claim(this.changedRevision, this.coveredRevision, unconfirmedMillis()))
				: Optional.empty();
	}

	/**
	 * Returns for how long nothing has confirmed the copy.
	 * @return the time, in milliseconds; {@link Long#MAX_VALUE} if nothing ever did
	 */
	public synchronized long unconfirmedMillis() {
		return this.confirmed ? Math.max(0, this.clock.nowMillis() - this.confirmedMillis) : Long.MAX_VALUE;
	}

	/**
	 * Tells whether a peer has a change that the copy does not hold.
	 * @return true if one has told so
	 */
	public synchronized boolean isBehind() {
		return this.toldRevision > this.knownRevision;
	}

	/**
	 * Returns since when a peer has had a change that the copy does not hold.
	 * @return the time, in milliseconds; 0 if none has
	 */
	public synchronized long behindMillis() {
		return isBehind() ? this.clock.nowMillis() - this.toldMillis : 0;
	}

	/**
	 * Returns since when the copy has been known to be behind, as a moment.
	 * @return the moment, in milliseconds
	 */
	synchronized long toldAtMillis() {
		return this.toldMillis;
	}

	/**
	 * What a process claims of its copy.
	 *
	 * @param changedRevision a revision of a change that it holds, 0 if it knows of none
	 * @param coveredRevision the revision after which it knows of no change; a copy that
	 * holds changes up to there holds all that it knows
	 * @param ageMillis for how long nothing has confirmed that there is no later change,
	 * in milliseconds
	 */
	public record Claim(long changedRevision, long coveredRevision, long ageMillis) {

		private boolean isValid() {
			return this.changedRevision >= 0 && this.coveredRevision > 0 && this.coveredRevision >= this.changedRevision
					&& this.ageMillis >= 0;
		}

	}

}
