package org.snowwind.store;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

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

	/** A listing has fewer pages, each of which may take as long as a call. */
	private static final int MOST_PAGES = 10;

	private final AsyncObjectStore store;

	private final String prefix;

	private final Pace pace;

	private final Listener listener;

	private final MonotonicClock clock;

	private final Freshness freshness;

	private final OpenCalls calls = new OpenCalls();

	private final Queue<Runnable> answers = new ConcurrentLinkedQueue<>();

	private Runnable onAnswer = () -> {
	};

	private boolean listed;

	private volatile boolean away;

	/** Whether a watch was cut off and no inquiry was answered since. */
	private boolean inquiryNeeded;

	private long revision;

	/** When the last change was learnt. */
	private long changedMillis;

	private long lastSentMillis = Long.MIN_VALUE;

	private long lastInquiryMillis = Long.MIN_VALUE;

	/** When the latest of the answered calls was sent. */
	private long answeredSentMillis = Long.MIN_VALUE;

	private long nextInquiryMillis = Long.MIN_VALUE;

	private long nextWatchMillis = Long.MIN_VALUE;

	private long sentCalls;

	private final Backoff inquiries;

	private final Backoff watches;

	private final Backoff gaps;

	private final Backoff faults;

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
		long mostMillis = Math.round(MOST_BACKOFF_SHARE * pace.schedule().retryMillis());
		this.inquiries = new Backoff(FIRST_BACKOFF_MILLIS, mostMillis, random);
		this.watches = new Backoff(FIRST_BACKOFF_MILLIS, mostMillis, random);
		this.gaps = new Backoff(FIRST_BACKOFF_MILLIS, mostMillis, random);
		this.faults = new Backoff(FIRST_BACKOFF_MILLIS, mostMillis, random);
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
	 * Tells whether the platform does not answer. May be called on any thread.
	 * @return true if the last call that it should have answered at once failed
	 */
	public boolean isAway() {
		return this.away;
	}

	/**
	 * Takes the answers that have come, and makes a call if one is due.
	 */
	public void round() {
		takeAnswers();
		long nowMillis = this.clock.nowMillis();
		dropSilentCalls(nowMillis);
		if (isInquiryDue(nowMillis)) {
			inquire(nowMillis);
			takeAnswers();
		}
		else if (isWatchDue(nowMillis)) {
			watch(nowMillis, this.pace.waitMillis());
			takeAnswers();
		}
	}

	private void takeAnswers() {
		Runnable answer = this.answers.poll();
		while (answer != null) {
			answer.run();
			answer = this.answers.poll();
		}
	}

	private void dropSilentCalls(long nowMillis) {
		this.calls.dropLate(nowMillis);
		if (nowMillis - this.changedMillis > this.pace.schedule().retryMillis()) {
			this.calls.dropSilent(this.revision, this.changedMillis);
		}
	}

	private boolean isWatchDue(long nowMillis) {
		return this.listed && !this.calls.isWaiting() && nowMillis >= this.nextWatchMillis;
	}

	private boolean isInquiryDue(long nowMillis) {
		if (this.calls.inquiries() >= MOST_INQUIRIES) {
			return false;
		}
		boolean needed = !this.listed || this.away || this.inquiryNeeded
				|| this.pace.schedule().isDue(this.freshness.unconfirmedMillis());
		return (needed && nowMillis >= this.nextInquiryMillis) || isPeerAhead(nowMillis);
	}

	// One inquiry for each time that a peer is found to be ahead; further ones as usual.
	private boolean isPeerAhead(long nowMillis) {
		return this.freshness.behindMillis() >= this.pace.schedule().stepMillis()
				&& (this.lastSentMillis <= this.freshness.toldAtMillis() || nowMillis >= this.nextInquiryMillis);
	}

	private void inquire(long nowMillis) {
		this.lastInquiryMillis = nowMillis;
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
		OpenCalls.Call call = begin(nowMillis, MOST_PAGES * timeoutMillis, false);
		deliver(() -> this.store.startList(this.prefix, timeoutMillis), call, (result) -> result.match((listing) -> {
			answered(call);
			takeListing(call, listing);
			return true;
		}, (none) -> failed(call, none.reason())));
	}

	private void takeListing(OpenCalls.Call call, ListResult.Listed listing) {
		if (this.listed && listing.revision() < this.revision) {
			return;
		}
		if (tell(() -> this.listener.listed(listing))) {
			this.listed = true;
			this.revision = listing.revision();
			// A listing does not tell what was deleted before, nor when.
			this.freshness.answered(call.sentMillis(), this.revision, lastChange(listing.objects()), this.revision);
		}
	}

	private static long lastChange(List<StoredObject> objects) {
		return objects.stream().mapToLong(StoredObject::revision).max().orElse(0);
	}

	private void watch(long nowMillis, long waitMillis) {
		long timeoutMillis = waitMillis + this.pace.schedule().callMillis();
		long mostMillis = timeoutMillis + this.pace.schedule().retryMillis();
		OpenCalls.Call call = begin(nowMillis, mostMillis, waitMillis > NO_WAIT_MILLIS);
		deliver(() -> this.store.startWatch(this.prefix, this.revision, waitMillis, timeoutMillis), call,
				(result) -> result.match((changes) -> {
					answered(call);
					this.gaps.succeeded();
					takeChanges(call, changes, waitMillis);
					return true;
				}, (gap) -> {
					answered(call);
					takeGap(call);
					return true;
				}, (none) -> failed(call, none.reason())));
	}

	private void takeChanges(OpenCalls.Call call, WatchResult.Changes changes, long waitMillis) {
		long nowMillis = this.clock.nowMillis();
		boolean changed = !changes.objects().isEmpty();
		boolean endedEarly = call.waits() && nowMillis - call.sentMillis() < waitMillis;
		if (changed || endedEarly) {
			this.nextWatchMillis = nowMillis + this.pace.gatherMillis();
		}
		if (!this.listed || changes.revision() < this.revision || !tell(() -> this.listener.changed(changes))) {
			return;
		}
		this.changedMillis = changed ? nowMillis : this.changedMillis;
		this.revision = changes.revision();
		// The revision of an object that was deleted is that of the change before.
		boolean deleted = changes.objects().stream().anyMatch(StoredObject::deleted);
		long last = deleted ? this.revision : lastChange(changes.objects());
		this.freshness.answered(call.sentMillis(), this.revision, last, last);
	}

	private void takeGap(OpenCalls.Call call) {
		// A call made before the last listing says nothing of the changes since.
		if (this.listed && call.afterRevision() == this.revision) {
			this.listed = false;
			boolean again = this.gaps.hasFailed();
			long pauseMillis = this.gaps.failed();
			this.nextInquiryMillis = this.clock.nowMillis() + (again ? pauseMillis : 0);
			this.listener.gap(this.revision);
		}
	}

	// What the listener could not take is listed again.
	private boolean tell(Runnable news) {
		try {
			news.run();
			this.faults.succeeded();
			return true;
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.INTERNAL_FAULT, ex, "where", "objects below " + this.prefix);
			this.listed = false;
			this.nextInquiryMillis = this.clock.nowMillis() + this.faults.failed();
			return false;
		}
	}

	private OpenCalls.Call begin(long nowMillis, long mostMillis, boolean waits) {
		OpenCalls.Call call = new OpenCalls.Call(this.sentCalls++, nowMillis, mostMillis, this.revision, waits);
		this.calls.add(call);
		this.lastSentMillis = nowMillis;
		return call;
	}

	private <T> void deliver(Supplier<CompletableFuture<T>> start, OpenCalls.Call call, Answered<T> answered) {
		try {
			start.get().thenAccept((result) -> {
				this.answers.add(() -> {
					if (this.calls.remove(call)) {
						answered.take(result);
					}
				});
				this.onAnswer.run();
			});
		}
		catch (RuntimeException ex) {
			this.calls.remove(call);
			failed(call, String.valueOf(ex.getMessage()));
		}
	}

	private void answered(OpenCalls.Call call) {
		this.answeredSentMillis = Math.max(this.answeredSentMillis, call.sentMillis());
		if (call.waits()) {
			this.watches.succeeded();
			return;
		}
		this.inquiryNeeded = false;
		this.inquiries.succeeded();
		if (this.away) {
			this.away = false;
			this.listener.back();
		}
	}

	private boolean failed(OpenCalls.Call call, String reason) {
		long nowMillis = this.clock.nowMillis();
		if (call.waits()) {
			watchFailed(call, nowMillis);
			return false;
		}
		// An earlier inquiry says nothing once a later one was answered, and sets no
		// pause once a later one was made.
		if (call.sentMillis() >= this.answeredSentMillis && !this.away) {
			this.away = true;
			this.listener.away(reason);
		}
		if (call.sentMillis() >= this.lastInquiryMillis) {
			long latestMillis = Math.max(nowMillis, call.sentMillis() + this.pace.schedule().retryMillis());
			this.nextInquiryMillis = Math.min(nowMillis + this.inquiries.failed(), latestMillis);
		}
		return false;
	}

	// A watch may be cut off at any time; an inquiry tells whether the platform answers.
	private void watchFailed(OpenCalls.Call call, long nowMillis) {
		long pauseMillis = this.watches.failed();
		this.nextWatchMillis = nowMillis + pauseMillis;
		if (call.sentMillis() >= this.answeredSentMillis) {
			this.inquiryNeeded = true;
			this.nextInquiryMillis = Math.min(this.nextInquiryMillis,
					nowMillis + Math.min(FIRST_BACKOFF_MILLIS, pauseMillis));
		}
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
