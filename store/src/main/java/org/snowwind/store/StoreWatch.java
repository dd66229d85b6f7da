package org.snowwind.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.random.RandomGenerator;

import org.snowwind.model.MonotonicClock;

/**
 * Follows all objects below a prefix: lists them, then waits for changes, and lists again
 * only if the store no longer has all changes.
 *
 * <p>
 * One call waits for long. It may be on a connection that nothing comes over any more, so
 * the copy's age decides when another call is made beside it, on a connection of its own.
 * Never blocks; confined to one thread.
 */
public final class StoreWatch {

	/** The first pause after a failed call, in milliseconds; it doubles with each. */
	private static final long FIRST_BACKOFF_MILLIS = 150;

	/** The longest pause as a share of the time between calls to a silent store. */
	private static final double MOST_BACKOFF_SHARE = 0.8;

	/** The store answers at once; it is only asked what it knows by now. */
	private static final long NO_WAIT_MILLIS = 1;

	/** Unanswered calls beside the one that waits for long. */
	private static final int MOST_INQUIRIES = 4;

	private final AsyncObjectStore store;

	private final String prefix;

	private final Pace pace;

	private final Listener listener;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final Freshness freshness;

	private final List<Call> calls = new ArrayList<>();

	private final Queue<Runnable> answers = new ConcurrentLinkedQueue<>();

	private Runnable onAnswer = () -> {
	};

	private boolean listed;

	private boolean away;

	private long revision;

	/** When the last change was learnt. */
	private long changedMillis;

	/** When the latest of the answered calls was sent. */
	private long answeredSentMillis = Long.MIN_VALUE;

	private long lastSentMillis = Long.MIN_VALUE;

	private long backoffMillis = FIRST_BACKOFF_MILLIS;

	private long nextInquiryMillis = Long.MIN_VALUE;

	private long gatherUntilMillis = Long.MIN_VALUE;

	private long backoffUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates a watch that has made no call.
	 * @param store the platform
	 * @param prefix the start of the keys
	 * @param pace when calls are made, and how long they wait
	 * @param listener is told of objects and of the platform's state
	 * @param freshness is told what answers prove, and tells what peers know
	 * @param clock tells the time
	 * @param random spreads the back-off
	 */
	public StoreWatch(AsyncObjectStore store, String prefix, Pace pace, Listener listener, Freshness freshness,
			MonotonicClock clock, RandomGenerator random) {
		this.store = store;
		this.prefix = prefix;
		this.pace = pace;
		this.listener = listener;
		this.freshness = freshness;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Asks for a round as soon as an answer is there. To be called before the first
	 * round.
	 * @param task called on any thread
	 */
	public void onAnswer(Runnable task) {
		this.onAnswer = task;
	}

	/**
	 * Takes the answers that have come, and makes a call if one is due.
	 */
	public void round() {
		takeAnswers();
		long nowMillis = this.clock.nowMillis();
		dropSilentCalls(nowMillis);
		if (nowMillis >= this.backoffUntilMillis && makeCall(nowMillis)) {
			takeAnswers();
		}
	}

	private boolean makeCall(long nowMillis) {
		if (isInquiryDue(nowMillis)) {
			inquire(nowMillis);
			return true;
		}
		boolean waiting = this.calls.stream().anyMatch((call) -> call.waits);
		if (this.listed && !waiting && nowMillis >= this.gatherUntilMillis) {
			watch(nowMillis, this.pace.waitMillis());
			return true;
		}
		return false;
	}

	private void takeAnswers() {
		Runnable answer = this.answers.poll();
		while (answer != null) {
			answer.run();
			answer = this.answers.poll();
		}
	}

	// A change that another call told of should have ended every call that waits for it.
	private void dropSilentCalls(long nowMillis) {
		long retryMillis = this.pace.schedule().retryMillis();
		this.calls.removeIf((call) -> nowMillis - call.sentMillis > call.timeoutMillis + retryMillis
				|| (call.waits && call.afterRevision < this.revision && call.sentMillis < this.changedMillis
						&& nowMillis - this.changedMillis > retryMillis));
	}

	private boolean isInquiryDue(long nowMillis) {
		long open = this.calls.stream().filter((call) -> !call.waits).count();
		if (open >= MOST_INQUIRIES) {
			return false;
		}
		boolean needed = !this.listed || this.away || this.pace.schedule().isDue(this.freshness.unconfirmedMillis());
		return (needed && nowMillis >= this.nextInquiryMillis) || isBehind(nowMillis);
	}

	// One inquiry for each time that a peer is found to be ahead; further ones as usual.
	private boolean isBehind(long nowMillis) {
		return this.freshness.behindMillis() >= this.pace.schedule().stepMillis()
				&& (this.lastSentMillis <= this.freshness.toldAtMillis() || nowMillis >= this.nextInquiryMillis);
	}

	private void inquire(long nowMillis) {
		this.nextInquiryMillis = nowMillis + this.pace.schedule().retryMillis();
		if (this.listed) {
			watch(nowMillis, NO_WAIT_MILLIS);
		}
		else {
			list(nowMillis);
		}
	}

	private void list(long nowMillis) {
		long timeoutMillis = this.pace.schedule().callMillis();
		Call call = begin(nowMillis, timeoutMillis, false);
		deliver(this.store.startList(this.prefix, timeoutMillis), call, (result) -> result.match((listing) -> {
			answered(call);
			takeListing(call, listing);
			return true;
		}, (none) -> failed(call, none.reason())));
	}

	private void takeListing(Call call, ListResult.Listed listing) {
		if (this.listed && listing.revision() < this.revision) {
			return;
		}
		this.listed = true;
		this.revision = listing.revision();
		this.listener.listed(listing);
		// What was deleted before cannot be told from the listing.
		this.freshness.answered(call.sentMillis, this.revision, this.revision);
	}

	private void watch(long nowMillis, long waitMillis) {
		long timeoutMillis = waitMillis + this.pace.schedule().callMillis();
		Call call = begin(nowMillis, timeoutMillis, waitMillis > NO_WAIT_MILLIS);
		deliver(this.store.startWatch(this.prefix, this.revision, waitMillis, timeoutMillis), call,
				(result) -> result.match((changes) -> {
					answered(call);
					takeChanges(call, changes, waitMillis);
					return true;
				}, (gap) -> {
					answered(call);
					takeGap(call);
					return true;
				}, (none) -> failed(call, none.reason())));
	}

	private void takeChanges(Call call, WatchResult.Changes changes, long waitMillis) {
		if (!this.listed || changes.revision() < this.revision) {
			return;
		}
		long nowMillis = this.clock.nowMillis();
		boolean changed = !changes.objects().isEmpty();
		if (changed) {
			this.changedMillis = nowMillis;
			this.gatherUntilMillis = nowMillis + this.pace.gatherMillis();
		}
		this.revision = changes.revision();
		this.listener.changed(changes);
		// The store has answered no sooner than it was to wait without a change.
		boolean waited = !changed && nowMillis - call.sentMillis >= waitMillis;
		this.freshness.answered(call.sentMillis + (waited ? waitMillis : 0), this.revision,
				changed ? this.revision : 0);
	}

	private void takeGap(Call call) {
		// A call made before the last listing says nothing of the changes since.
		if (this.listed && call.afterRevision == this.revision) {
			this.listed = false;
			this.nextInquiryMillis = this.clock.nowMillis();
			this.listener.gap(this.revision);
		}
	}

	private Call begin(long nowMillis, long timeoutMillis, boolean waits) {
		Call call = new Call(nowMillis, timeoutMillis, this.revision, waits);
		this.calls.add(call);
		this.lastSentMillis = nowMillis;
		return call;
	}

	private <T> void deliver(CompletableFuture<T> future, Call call, Answered<T> answered) {
		future.thenAccept((result) -> {
			this.answers.add(() -> {
				if (this.calls.remove(call)) {
					answered.take(result);
				}
			});
			this.onAnswer.run();
		});
	}

	private void answered(Call call) {
		this.answeredSentMillis = Math.max(this.answeredSentMillis, call.sentMillis);
		this.backoffMillis = FIRST_BACKOFF_MILLIS;
		if (this.away) {
			this.away = false;
			this.listener.back();
		}
	}

	// The failure of an earlier call says nothing once a later one was answered.
	private boolean failed(Call call, String reason) {
		if (call.sentMillis < this.answeredSentMillis) {
			return false;
		}
		if (!this.away) {
			this.away = true;
			this.listener.away(reason);
		}
		this.backoffUntilMillis = this.clock.nowMillis() + this.backoffMillis / 2
				+ this.random.nextLong(this.backoffMillis / 2 + 1);
		this.nextInquiryMillis = this.backoffUntilMillis;
		long mostMillis = Math.round(MOST_BACKOFF_SHARE * this.pace.schedule().retryMillis());
		this.backoffMillis = Math.min(mostMillis, this.backoffMillis * 2);
		return false;
	}

	/**
	 * When calls are made, and how long they wait.
	 *
	 * @param waitMillis how long the store waits for a change, in milliseconds
	 * @param gatherMillis how long the next call waits after a change, in milliseconds,
	 * so that changes which come together cost one call
	 * @param schedule decides when another call is made beside the one that waits
	 */
	public record Pace(long waitMillis, long gatherMillis, ConfirmationSchedule schedule) {

	}

	/**
	 * Takes an answer on the watch's thread.
	 *
	 * @param <T> the type of the answer
	 */
	@FunctionalInterface
	private interface Answered<T> {

		void take(T answer);

	}

	/**
	 * A call that is unanswered; each is an object of its own.
	 */
	private static final class Call {

		private final long sentMillis;

		private final long timeoutMillis;

		private final long afterRevision;

		private final boolean waits;

		private Call(long sentMillis, long timeoutMillis, long afterRevision, boolean waits) {
			this.sentMillis = sentMillis;
			this.timeoutMillis = timeoutMillis;
			this.afterRevision = afterRevision;
			this.waits = waits;
		}

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
