package org.snowwind.gateway.table;

import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.Freshness;

/**
 * Tracks whether the route table in force may be stale: the time since the platform
 * confirmed it, and the newest version that a peer has reported. Thread-safe.
 */
public final class TableFreshness {

	/**
	 * A change reaches the gateways at different times, so a shorter lag is not logged.
	 */
	private static final long BEHIND_LOG_THRESHOLD_MILLIS = 500;

	/**
	 * A table that a peer has arrives within the bound divided by this number, so callers
	 * may retry after that time.
	 */
	private static final int RETRIES_PER_BOUND = 4;

	private final TableHolder tables;

	private final Freshness confirmations;

	private final long boundMillis;

	private final MonotonicClock clock;

	private long newestPeerVersion;

	private String newestPeerAddress = "";

	private long behindSinceMillis;

	private long lastLoggedVersion;

	/**
	 * Creates the freshness of a table before any peer has reported a version.
	 * @param tables the holder of the table in force
	 * @param confirmations when the platform last confirmed the table
	 * @param boundMillis the time for which the table may be unconfirmed, in milliseconds
	 * @param clock provides the current time
	 */
	public TableFreshness(TableHolder tables, Freshness confirmations, long boundMillis, MonotonicClock clock) {
		this.tables = tables;
		this.confirmations = confirmations;
		this.boundMillis = boundMillis;
		this.clock = clock;
	}

	/**
	 * Records the version that a peer has in force.
	 * @param version the version
	 * @param peer the peer's address
	 */
	public synchronized void recordPeerVersion(long version, String peer) {
		long nowMillis = this.clock.nowMillis();
		long inForce = this.tables.current().version();
		if (version > this.newestPeerVersion) {
			// If this gateway was already behind, it has been since the first newer
			// version.
			this.behindSinceMillis = (this.newestPeerVersion > inForce) ? this.behindSinceMillis : nowMillis;
			this.newestPeerVersion = version;
			this.newestPeerAddress = peer;
		}
		long behindMillis = nowMillis - this.behindSinceMillis;
		if (this.newestPeerVersion > Math.max(inForce, this.lastLoggedVersion)
				&& behindMillis >= BEHIND_LOG_THRESHOLD_MILLIS) {
			this.lastLoggedVersion = this.newestPeerVersion;
			EventLog.log(Event.TABLE_BEHIND, "version", inForce, "toldVersion", this.newestPeerVersion, "toldBy",
					this.newestPeerAddress, "behindMillis", behindMillis, "unconfirmedMillis",
					this.confirmations.unconfirmedMillis());
		}
	}

	/**
	 * Returns the current state.
	 * @return the state
	 */
	public synchronized State state() {
		long inForce = this.tables.current().version();
		boolean behind = this.newestPeerVersion > inForce;
		return new State(inForce, this.confirmations.unconfirmedMillis(), this.newestPeerVersion,
				this.newestPeerAddress, behind ? this.clock.nowMillis() - this.behindSinceMillis : 0);
	}

	/**
	 * Returns whether a request that the table in force does not allow gets a final
	 * refusal. A caller does not retry after a final refusal, so a table that may be
	 * stale must not produce one.
	 * @return true if no newer table is expected and the table was confirmed within the
	 * bound
	 */
	public boolean isRefusalFinal() {
		State state = state();
		// If a reported version does not arrive within the bound although the platform
		// confirms the table in force, the report was wrong.
		boolean newerExpected = state.isBehind() && state.behindMillis() <= this.boundMillis;
		return !newerExpected && state.unconfirmedMillis() <= this.boundMillis;
	}

	/**
	 * Returns the time after which a caller may retry if its refusal is not final.
	 * @return the delay, in milliseconds
	 */
	public long retryMillis() {
		return this.boundMillis / RETRIES_PER_BOUND;
	}

	/**
	 * The freshness of the table in force at one moment.
	 *
	 * @param version the version of the table in force
	 * @param unconfirmedMillis the time since the table was last confirmed to be the
	 * newest, in milliseconds
	 * @param newestPeerVersion the newest version that a peer has reported, 0 if none has
	 * @param newestPeerAddress the address of the peer that reported it first, empty if
	 * none has
	 * @param behindMillis the time since a peer first reported a newer version, in
	 * milliseconds; 0 if no peer has reported one
	 */
	public record State(long version, long unconfirmedMillis, long newestPeerVersion, String newestPeerAddress,
			long behindMillis) {

		/**
		 * Returns whether a peer has reported a newer table.
		 * @return true if a peer has reported a newer version than the one in force
		 */
		public boolean isBehind() {
			return this.newestPeerVersion > this.version;
		}

	}

}
