package org.snowwind.gateway.table;

import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.Freshness;

/**
 * How certain it is that the route table in force is the newest one: its age, and the
 * newest version that a peer has told. Thread-safe.
 */
public final class TableFreshness {

	/** News of a change reach gateways one by one; less than this is no delay. */
	private static final long LOGGED_BEHIND_MILLIS = 500;

	/** News that a peer has are here within this part of the bound. */
	private static final int RETRIES_PER_BOUND = 4;

	private final TableHolder tables;

	private final Freshness confirmations;

	private final long boundMillis;

	private final MonotonicClock clock;

	private long toldVersion;

	private String toldBy = "";

	private long toldMillis;

	private long loggedVersion;

	/**
	 * Creates the freshness of a table of which no peer has told.
	 * @param tables holds the table in force
	 * @param confirmations as of when the platform confirmed it
	 * @param boundMillis for how long it may be unconfirmed, in milliseconds
	 * @param clock tells the time
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
	public synchronized void told(long version, String peer) {
		long nowMillis = this.clock.nowMillis();
		long inForce = this.tables.current().version();
		if (version > this.toldVersion) {
			// A gateway that was behind already has been so since the first such version.
			this.toldMillis = (this.toldVersion > inForce) ? this.toldMillis : nowMillis;
			this.toldVersion = version;
			this.toldBy = peer;
		}
		long behindMillis = nowMillis - this.toldMillis;
		if (this.toldVersion > Math.max(inForce, this.loggedVersion) && behindMillis >= LOGGED_BEHIND_MILLIS) {
			this.loggedVersion = this.toldVersion;
			EventLog.log(Event.TABLE_BEHIND, "version", inForce, "toldVersion", this.toldVersion, "toldBy", this.toldBy,
					"behindMillis", behindMillis, "unconfirmedMillis", this.confirmations.unconfirmedMillis());
		}
	}

	/**
	 * Returns what is known now.
	 * @return the state
	 */
	public synchronized State state() {
		long inForce = this.tables.current().version();
		boolean behind = this.toldVersion > inForce;
		return new State(inForce, this.confirmations.unconfirmedMillis(), this.toldVersion, this.toldBy,
				behind ? this.clock.nowMillis() - this.toldMillis : 0);
	}

	/**
	 * Tells whether what the table in force does not allow is refused for good. A caller
	 * does not come back after that, so that it must not be told by a table that may be
	 * an older one.
	 * @return true if nothing says that there is a newer table, and the table was
	 * confirmed in time
	 */
	public boolean isRefusalFinal() {
		State state = state();
		// A newer version that stays unseen while the platform confirms is a false one.
		boolean newerExpected = state.isBehind() && state.behindMillis() <= this.boundMillis;
		return !newerExpected && state.unconfirmedMillis() <= this.boundMillis;
	}

	/**
	 * Returns when a caller may come back whose refusal is not final.
	 * @return the time until then, in milliseconds
	 */
	public long retryMillis() {
		return this.boundMillis / RETRIES_PER_BOUND;
	}

	/**
	 * What is known of the table in force.
	 *
	 * @param version its version
	 * @param unconfirmedMillis for how long nothing has confirmed that it is the newest,
	 * in milliseconds
	 * @param toldVersion the newest version that a peer has told, 0 if none did
	 * @param toldBy the peer that told it first, empty if none did
	 * @param behindMillis since when a peer has had a newer one, in milliseconds; 0 if
	 * none has
	 */
	public record State(long version, long unconfirmedMillis, long toldVersion, String toldBy, long behindMillis) {

		/**
		 * Tells whether a peer has a newer table.
		 * @return true if one has told so
		 */
		public boolean isBehind() {
			return this.toldVersion > this.version;
		}

	}

}
