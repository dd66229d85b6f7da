package org.snowwind.gateway.suspect;

import java.util.List;
import java.util.random.RandomGenerator;

import org.snowwind.decide.blame.PartEnd;
import org.snowwind.gateway.peer.ConfirmationRank;
import org.snowwind.gateway.suspect.SuspectDocument.SeenEnd;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.store.AsyncObjectStore;
import org.snowwind.store.ConfirmationSchedule;
import org.snowwind.store.Freshness;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoreWatch;
import org.snowwind.store.WatchPace;

/**
 * Keeps the {@link SuspectBook} of this gateway on three threads: one takes note of what
 * this one sees, one writes it, one waits for what others write. So what is seen counts
 * at once, also while the platform takes long over a call.
 */
public final class SuspectDuty implements Suspects.Sightings, AutoCloseable {

	/** For how long the ends seen by other gateways may be unknown, in milliseconds. */
	private static final long BOUND_MILLIS = 10_000;

	private static final long WATCH_TICK_MILLIS = 100;

	/** How long news that come together are gathered, in milliseconds. */
	private static final long GATHER_MILLIS = 100;

	/** How often what is not written yet is looked for, in milliseconds. */
	private static final long TICK_MILLIS = 50;

	/**
	 * The time between gateways of successive rank, in milliseconds, when all of them
	 * know an answer that clears the same part; the others need not write it then.
	 */
	private static final long MILLIS_PER_RANK = 3;

	private static final int RING_SIZE = 1024;

	private static final int SMALL_RING = 16;

	private final AnsweredParts answeredParts = new AnsweredParts();

	private final SuspectBook book;

	private final Freshness freshness;

	private final DutyThread thread;

	private final DutyThread writeThread;

	private final DutyThread watchThread;

	/**
	 * Creates a duty that makes no call yet.
	 * @param store the platform
	 * @param reads the same, for calls whose answers are not waited for
	 * @param name the name of this gateway
	 * @param rank tells when this gateway asks the store, among all that live
	 * @param watchMillis how long one call waits for a change, in milliseconds
	 * @param clock tells the time
	 * @param random spreads calls that are made again
	 */
	public SuspectDuty(ObjectStore store, AsyncObjectStore reads, String name, ConfirmationRank rank, long watchMillis,
			MonotonicClock clock, RandomGenerator random) {
		this.book = new SuspectBook(store, name, this.answeredParts,
				() -> MILLIS_PER_RANK * rank.of(SuspectBook.PREFIX), clock);
		this.freshness = new Freshness(clock);
		ConfirmationSchedule schedule = new ConfirmationSchedule(BOUND_MILLIS, () -> rank.of(SuspectBook.PREFIX));
		StoreWatch watch = new StoreWatch(reads, SuspectBook.PREFIX,
				new WatchPace(watchMillis, GATHER_MILLIS, schedule), this.book, this.freshness, clock, random);
		this.thread = new DutyThread("suspects", RING_SIZE, TICK_MILLIS, this::tick);
		this.writeThread = new DutyThread("suspect-writes", SMALL_RING, TICK_MILLIS, this.book::round);
		this.watchThread = new DutyThread("suspect-watch", SMALL_RING, WATCH_TICK_MILLIS, watch::round);
		watch.onAnswer(() -> this.watchThread.offer(watch::round));
	}

	/**
	 * Returns as of when the platform confirmed what is known.
	 * @return the freshness
	 */
	public Freshness freshness() {
		return this.freshness;
	}

	/**
	 * Begins to watch and to write.
	 */
	public void start() {
		this.thread.start();
		this.writeThread.start();
		this.watchThread.start();
	}

	/**
	 * Returns what is known.
	 * @return the newest view
	 */
	public SuspectView view() {
		return this.book.view();
	}

	private void tick() {
		this.book.forget();
		this.book.recordAnswers();
	}

	@Override
	public void endedWithParts(List<PartEnd> ends) {
		this.thread.offer(() -> this.book.endedWithParts(ends));
	}

	@Override
	public void answeredParts(List<SuspectPart> parts) {
		parts.forEach(this.answeredParts::record);
	}

	@Override
	public void ended(SeenEnd seen) {
		this.thread.offer(() -> this.book.ended(seen));
	}

	@Override
	public void answered(String digest) {
		this.thread.offer(() -> this.book.answered(digest));
	}

	@Override
	public void lives(String server) {
		this.thread.offer(() -> this.book.lives(server));
	}

	@Override
	public void close() {
		this.thread.close();
		this.writeThread.close();
		this.watchThread.close();
	}

}
