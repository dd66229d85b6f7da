package org.snowwind.store;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.snowwind.model.EraRevision;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Watches all objects with a key prefix: lists them, waits for changes, and lists them
 * again only if the store no longer has all changes.
 *
 * <p>
 * One call waits for changes. Its connection may have gone silent, so the age of the copy
 * decides when an inquiry is made on another connection. Never blocks; confined to one
 * thread.
 */
public final class StoreWatch {

	/** The first pause after a failed call, in milliseconds. */
	private static final long FIRST_BACKOFF_MILLIS = 150;

	/** The maximum pause as a share of the time between calls to a silent store. */
	private static final double MOST_BACKOFF_SHARE = 0.8;

	/** The wait of an inquiry, which returns the current state. */
	private static final long NO_WAIT_MILLIS = 1;

	/** The maximum number of open inquiries. */
	private static final int MOST_INQUIRIES = 4;

	/** The maximum number of pages of a listing, each of which is a call. */
	private static final int MOST_PAGES = 10;

	private final AsyncObjectStore store;

	private final String prefix;

	private final WatchPace pace;

	private final StoreListener listener;

	private final MonotonicClock clock;

	private final Freshness freshness;

	private final OpenCalls calls = new OpenCalls();

	private final StoreAvailability availability;

	private final Queue<Runnable> answers = new ConcurrentLinkedQueue<>();

	private Runnable onAnswer = () -> {
	};

	private boolean listed;

	private boolean everListed;

	private long listedMillis;

	/** Whether a watch was interrupted and no inquiry was answered since. */
	private boolean inquiryNeeded;

	private EraRevision revision = EraRevision.NONE;

	/** When the last change was received. */
	private long changedMillis;

	private long lastSentMillis = Long.MIN_VALUE;

	private long lastInquiryMillis = Long.MIN_VALUE;

	private long nextInquiryMillis = Long.MIN_VALUE;

	private long nextWatchMillis = Long.MIN_VALUE;

	private long sentCalls;

	private final Backoff inquiries;

	private final Backoff watches;

	private final Backoff gaps;

	private final Backoff faults;

	/**
	 * Creates a watch that has made no call.
	 * @param store the platform's store
	 * @param prefix the key prefix
	 * @param pace when calls are made, and how long they wait
	 * @param listener notified of objects and of the state of the store
	 * @param freshness the freshness of the copy, which responses and peers update
	 * @param clock the clock
	 * @param random adds jitter to the backoff
	 */
	public StoreWatch(AsyncObjectStore store, String prefix, WatchPace pace, StoreListener listener,
			Freshness freshness, MonotonicClock clock, RandomGenerator random) {
		this.store = store;
		this.prefix = prefix;
		this.pace = pace;
		this.listener = listener;
		this.freshness = freshness;
		this.availability = new StoreAvailability(freshness, pace.schedule(), listener);
		this.clock = clock;
		long mostMillis = Math.round(MOST_BACKOFF_SHARE * pace.schedule().retryMillis());
		this.inquiries = new Backoff(FIRST_BACKOFF_MILLIS, mostMillis, random);
		this.watches = new Backoff(FIRST_BACKOFF_MILLIS, mostMillis, random);
		this.gaps = new Backoff(FIRST_BACKOFF_MILLIS, mostMillis, random);
		this.faults = new Backoff(FIRST_BACKOFF_MILLIS, mostMillis, random);
	}

	/**
	 * Sets a task that is run when a response has arrived. Must be called before the
	 * first round.
	 * @param task the task, run on any thread
	 */
	public void onAnswer(Runnable task) {
		this.onAnswer = task;
	}

	/**
	 * Returns whether the store does not answer. May be called on any thread.
	 * @return true if the last inquiry failed
	 */
	public boolean isAway() {
		return this.availability.isAway();
	}

	/**
	 * Processes the responses that have arrived, and makes a call if one is due.
	 */
	public void round() {
		if (this.listed) {
			this.availability.check();
		}
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
		return this.listed && !this.calls.isWaiting() && nowMillis >= this.nextWatchMillis
				&& this.pace.waits().getAsBoolean();
	}

	private boolean isInquiryDue(long nowMillis) {
		if (this.calls.inquiries() >= MOST_INQUIRIES) {
			return false;
		}
		boolean needed = !this.listed || this.availability.isAway() || this.inquiryNeeded
				|| this.pace.schedule().isDue(this.freshness.unconfirmedMillis());
		return (needed && nowMillis >= this.nextInquiryMillis) || isPeerAhead(nowMillis);
	}

	// The first inquiry after a peer was found to be ahead is made at once, further ones
	// at the usual interval.
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
		boolean earlierEra = listing.revision().era() < this.revision.era();
		if (earlierEra || (this.listed && this.revision.isNewerThan(listing.revision()))) {
			return;
		}
		EraRevision before = this.revision;
		boolean restored = this.everListed && listing.revision().era() > before.era();
		if (restored) {
			this.calls.dropWaitsOfEarlierEras(listing.revision().era());
			this.listener.restored(before, listing.revision());
		}
		if (tell(() -> this.listener.listed(listing))) {
			this.listed = true;
			this.everListed = true;
			this.listedMillis = this.clock.nowMillis();
			this.revision = listing.revision();
			// A listing does not contain deleted objects.
			this.freshness.answered(call.sentMillis(), this.revision, lastChange(listing.objects()), this.revision);
		}
	}

	private static EraRevision lastChange(List<StoredObject> objects) {
		return objects.stream().map(StoredObject::revision).reduce(EraRevision.NONE, EraRevision::newest);
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
		if (changes.revision().era() > call.afterRevision().era()) {
			takeGap(call);
			return;
		}
		long nowMillis = this.clock.nowMillis();
		boolean changed = !changes.objects().isEmpty();
		boolean endedEarly = call.waits() && nowMillis - call.sentMillis() < waitMillis;
		if (changed || endedEarly) {
			this.nextWatchMillis = nowMillis + this.pace.gatherMillis();
		}
		if (!this.listed || this.revision.isNewerThan(changes.revision())
				|| !tell(() -> this.listener.changed(changes))) {
			return;
		}
		this.changedMillis = changed ? nowMillis : this.changedMillis;
		this.revision = changes.revision();
		// A deleted object has the revision of its previous change.
		boolean deleted = changes.objects().stream().anyMatch(StoredObject::deleted);
		EraRevision last = deleted ? this.revision : lastChange(changes.objects());
		this.freshness.answered(call.sentMillis(), this.revision, last, last);
	}

	private void takeGap(OpenCalls.Call call) {
		// A call made before the last listing does not prove a later gap.
		if (this.listed && call.afterRevision().equals(this.revision)) {
			this.listed = false;
			// Gaps delay listings only if they follow each other closely.
			if (this.clock.nowMillis() - this.listedMillis > this.pace.schedule().retryMillis()) {
				this.gaps.succeeded();
			}
			boolean again = this.gaps.hasFailed();
			long pauseMillis = this.gaps.failed();
			this.nextInquiryMillis = this.clock.nowMillis() + (again ? pauseMillis : 0);
			this.listener.gap(this.revision);
		}
	}

	// Objects that the listener could not process are listed again.
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
		this.availability.answered(call);
		if (call.waits()) {
			this.watches.succeeded();
			return;
		}
		this.inquiryNeeded = false;
		this.inquiries.succeeded();
	}

	private boolean failed(OpenCalls.Call call, String reason) {
		long nowMillis = this.clock.nowMillis();
		if (call.waits()) {
			watchFailed(call, nowMillis);
			return false;
		}
		this.availability.failed(call, reason);
		// Only the latest inquiry starts a pause.
		if (call.sentMillis() >= this.lastInquiryMillis) {
			long latestMillis = Math.max(nowMillis, call.sentMillis() + this.pace.schedule().retryMillis());
			this.nextInquiryMillis = Math.min(nowMillis + this.inquiries.failed(), latestMillis);
		}
		return false;
	}

	// A watch may be interrupted at any time; an inquiry shows whether the store answers.
	private void watchFailed(OpenCalls.Call call, long nowMillis) {
		long pauseMillis = this.watches.failed();
		this.nextWatchMillis = nowMillis + pauseMillis;
		if (!this.availability.isAnsweredSince(call)) {
			this.inquiryNeeded = true;
			this.nextInquiryMillis = Math.min(this.nextInquiryMillis,
					nowMillis + Math.min(FIRST_BACKOFF_MILLIS, pauseMillis));
		}
	}

	/**
	 * Processes a response on the watch's thread.
	 *
	 * @param <T> the type of the response
	 */
	@FunctionalInterface
	private interface Answered<T> {

		void take(T answer);

	}

}
