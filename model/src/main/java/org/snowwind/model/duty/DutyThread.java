package org.snowwind.model.duty;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * A thread with one duty, fed through a bounded ring and by a regular tick.
 *
 * <p>
 * When the ring is full the work is dropped and counted. Only work that the next tick
 * does anyway may be offered here.
 */
public final class DutyThread implements AutoCloseable {

	private static final long STOP_MILLIS = 2000;

	private final String name;

	private final MpscBlockingConsumerArrayQueue<Runnable> ring;

	private final AtomicLong dropped = new AtomicLong();

	private final long tickMillis;

	private final Runnable tick;

	private final Thread thread;

	private volatile boolean running = true;

	/** The failure that is not logged yet. Confined to the thread. */
	private Throwable unlogged;

	/**
	 * Creates a thread that has not started.
	 * @param name names the thread
	 * @param ringSize how much work may wait
	 * @param tickMillis how often the tick runs, in milliseconds
	 * @param tick the regular work
	 */
	public DutyThread(String name, int ringSize, long tickMillis, Runnable tick) {
		this.name = name;
		this.ring = new MpscBlockingConsumerArrayQueue<>(ringSize);
		this.tickMillis = tickMillis;
		this.tick = tick;
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
	}

	/**
	 * Starts the thread.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Offers work.
	 * @param work the work
	 * @return false if the ring is full and the work is dropped
	 */
	public boolean offer(Runnable work) {
		if (this.ring.offer(work)) {
			return true;
		}
		if (this.dropped.getAndIncrement() == 0) {
			EventLog.log(Event.RING_FULL, "thread", this.name);
		}
		return false;
	}

	/**
	 * Counts dropped work.
	 * @return how much was dropped so far
	 */
	public long dropped() {
		return this.dropped.get();
	}

	/**
	 * Lets the work that is under way end, and begins no other.
	 * @param mostMillis how long it may take; then it is interrupted
	 */
	public void finish(long mostMillis) {
		this.running = false;
		// Wakes a thread that waits for its next tick.
		this.ring.offer(() -> {
		});
		join(mostMillis);
		close();
	}

	@Override
	public void close() {
		this.running = false;
		this.thread.interrupt();
		join(STOP_MILLIS);
	}

	private void join(long mostMillis) {
		try {
			this.thread.join(mostMillis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void run() {
		long nextTickNanos = System.nanoTime();
		while (this.running) {
			long waitNanos = nextTickNanos - System.nanoTime();
			if (waitNanos <= 0) {
				nextTickNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.tickMillis);
				guarded(this.tick);
				continue;
			}
			guarded(next(waitNanos));
		}
	}

	private Runnable next(long waitNanos) {
		try {
			return this.ring.poll(waitNanos, TimeUnit.NANOSECONDS);
		}
		catch (InterruptedException ex) {
			this.running = false;
			return null;
		}
	}

	private void guarded(Runnable work) {
		if (work == null) {
			return;
		}
		try {
			work.run();
		}
		catch (RuntimeException | Error ex) {
			this.unlogged = ex;
		}
		logFailure();
	}

	private void logFailure() {
		Throwable failure = this.unlogged;
		if (failure == null) {
			return;
		}
		try {
			EventLog.log(Event.INTERNAL_FAULT, failure, "thread", this.name);
			this.unlogged = null;
		}
		catch (RuntimeException | Error ex) {
			// Logging allocates memory. It is attempted again after the next work.
			this.unlogged = failure;
		}
	}

}
