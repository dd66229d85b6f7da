package org.snowwind.store;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import org.snowwind.model.MonotonicClock;

/**
 * Follows all objects below a prefix: lists them, then waits for changes, and lists again
 * after anything that may have hidden a change. Confined to one thread, which it blocks.
 */
public final class StoreWatch {

	/** The first pause after a failed call, in milliseconds; it doubles with each. */
	private static final long FIRST_BACKOFF_MILLIS = 150;

	/**
	 * The longest pause, in milliseconds: a process that was cut off must know the newest
	 * configuration within about two seconds of the platform's return.
	 */
	private static final long MOST_BACKOFF_MILLIS = 800;

	private final ObjectStore store;

	private final String prefix;

	private final Pace pace;

	private final Listener listener;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final Freshness freshness;

	private boolean listed;

	private boolean away;

	private long revision;

	private long backoffMillis = FIRST_BACKOFF_MILLIS;

	private long resumeMillis = Long.MIN_VALUE;

	/**
	 * Creates a watch that has made no call.
	 * @param store the platform
	 * @param prefix the start of the keys
	 * @param pace how long calls wait
	 * @param listener is told of objects and of the platform's state
	 * @param clock tells the time
	 * @param random spreads the back-off
	 */
	public StoreWatch(ObjectStore store, String prefix, Pace pace, Listener listener, MonotonicClock clock,
			RandomGenerator random) {
		this.store = store;
		this.prefix = prefix;
		this.pace = pace;
		this.listener = listener;
		this.clock = clock;
		this.random = random;
		this.freshness = new Freshness(clock);
	}

	/**
	 * Returns as of when the platform confirmed what the listener was told.
	 * @return the freshness
	 */
	public Freshness freshness() {
		return this.freshness;
	}

	/**
	 * Makes one call, unless the platform has just failed to answer one.
	 */
	public void round() {
		if (this.clock.nowMillis() < this.resumeMillis) {
			return;
		}
		if (this.listed) {
			watch();
		}
		else {
			list();
		}
	}

	private void list() {
		long sentMillis = this.clock.nowMillis();
		this.store.list(this.prefix).match((listing) -> {
			answered();
			this.freshness.confirm(sentMillis);
			this.revision = listing.revision();
			this.listed = true;
			this.listener.listed(listing);
			return true;
		}, (none) -> failed(none.reason()));
	}

	private void watch() {
		long sentMillis = this.clock.nowMillis();
		this.store.watch(this.prefix, this.revision, this.pace.waitMillis().getAsLong()).match((changes) -> {
			answered();
			this.freshness.confirm(sentMillis);
			this.revision = changes.revision();
			if (!changes.objects().isEmpty()) {
				this.resumeMillis = this.clock.nowMillis() + this.pace.gatherMillis();
			}
			this.listener.changed(changes);
			return true;
		}, (gap) -> {
			answered();
			this.listed = false;
			this.listener.gap(this.revision);
			return true;
		}, (none) -> failed(none.reason()));
	}

	private void answered() {
		if (this.away) {
			this.away = false;
			this.listener.back();
		}
		this.backoffMillis = FIRST_BACKOFF_MILLIS;
	}

	private boolean failed(String reason) {
		if (!this.away) {
			this.away = true;
			this.listener.away(reason);
		}
		this.listed = false;
		this.resumeMillis = this.clock.nowMillis() + this.backoffMillis / 2
				+ this.random.nextLong(this.backoffMillis / 2 + 1);
		this.backoffMillis = Math.min(MOST_BACKOFF_MILLIS, this.backoffMillis * 2);
		return false;
	}

	/**
	 * How long calls wait.
	 *
	 * @param waitMillis asked how long the next call waits for a change, in milliseconds
	 * @param gatherMillis how long the next call waits after a change, in milliseconds,
	 * so that changes which come together cost one call
	 */
	public record Pace(LongSupplier waitMillis, long gatherMillis) {

	}

	/**
	 * Is told of objects and of the platform's state, on the watch's thread.
	 */
	public interface Listener {

		/**
		 * All objects were listed.
		 * @param listing the objects
		 */
		void listed(ListResult.Listed listing);

		/**
		 * Objects have changed, or the wait ended without a change.
		 * @param changes the changes
		 */
		void changed(WatchResult.Changes changes);

		/**
		 * The platform no longer knows all changes; a listing follows.
		 * @param afterRevision the last revision that is known
		 */
		default void gap(long afterRevision) {
		}

		/**
		 * The platform did not answer, the first time in a row.
		 * @param reason why, one line
		 */
		default void away(String reason) {
		}

		/**
		 * The platform answers again.
		 */
		default void back() {
		}

	}

}
