package org.snowwind.app.logging;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import org.snowwind.model.event.Event;

/**
 * Hands log lines to one writing thread through a bounded ring and never waits for it.
 *
 * <p>
 * When the ring is three quarters full, lines below a warning are left out first, so that
 * failures are still told; a count of what was left out follows as soon as there is room.
 */
public final class RingHandler extends Handler {

	private static final long STOP_MILLIS = 500;

	private static final long POLL_MILLIS = 500;

	private static final double ROOM_FOR_ALL = 0.75;

	/** How many lines one write takes at most. */
	private static final int BATCH_LINES = 32;

	private final MpscBlockingConsumerArrayQueue<LogRecord> ring;

	private final int roomForAll;

	private final PrintStream out;

	private final AtomicLong leftOut = new AtomicLong();

	private final AtomicLong leftOutInAll = new AtomicLong();

	private final Thread writer;

	private volatile boolean running = true;

	/** The number of lines of the batch not written yet. Confined to the writer. */
	private int inBatch;

	/** The number of missing lines that the batch tells of. Confined to the writer. */
	private long missingInBatch;

	/**
	 * Creates a handler and starts its thread.
	 * @param out where lines go
	 * @param formatter makes lines, on the writing thread
	 * @param ringSize how many lines may wait
	 */
	public RingHandler(PrintStream out, Formatter formatter, int ringSize) {
		this.ring = new MpscBlockingConsumerArrayQueue<>(ringSize);
		this.roomForAll = (int) (ringSize * ROOM_FOR_ALL);
		this.out = out;
		setFormatter(formatter);
		this.writer = new Thread(this::run, "log-writer");
		this.writer.setDaemon(true);
		this.writer.start();
	}

	@Override
	public void publish(LogRecord line) {
		if (!isLoggable(line)) {
			return;
		}
		boolean urgent = line.getLevel().intValue() >= Level.WARNING.intValue();
		boolean room = urgent || this.ring.size() < this.roomForAll;
		if (!room || !this.ring.offer(line)) {
			this.leftOut.incrementAndGet();
			this.leftOutInAll.incrementAndGet();
		}
	}

	/**
	 * Counts the lines that were left out.
	 * @return how many since the start
	 */
	public long leftOut() {
		return this.leftOutInAll.get();
	}

	private void run() {
		while (this.running || !this.ring.isEmpty()) {
			try {
				LogRecord line = this.ring.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
				if (line != null) {
					writeBatch(line);
				}
			}
			catch (InterruptedException ex) {
				this.running = false;
			}
			catch (RuntimeException | Error ex) {
				// The lines of the batch are counted; logging the failure may fail, too.
				countLost();
			}
		}
	}

	private void countLost() {
		this.leftOut.addAndGet(this.inBatch + this.missingInBatch);
		this.leftOutInAll.addAndGet(this.inBatch);
		this.inBatch = 0;
		this.missingInBatch = 0;
	}

	// One write for all that waits: a system call costs more than a line.
	private void writeBatch(LogRecord first) {
		this.inBatch = 1;
		StringBuilder batch = new StringBuilder();
		LogRecord line = first;
		for (int lines = 0; line != null; lines++) {
			this.inBatch = lines + 1;
			batch.append(getFormatter().format(line));
			// A flood must not make one batch grow for ever.
			line = (lines < BATCH_LINES) ? this.ring.poll() : null;
		}
		this.missingInBatch = this.leftOut.getAndSet(0);
		if (this.missingInBatch > 0) {
			Event event = Event.LOG_LINES_LEFT_OUT;
			LogRecord note = new LogRecord(event.level(),
					event.id() + " " + event.summary() + " lines=" + this.missingInBatch);
			batch.append(getFormatter().format(note));
		}
		byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
		this.out.write(bytes, 0, bytes.length);
		this.out.flush();
		this.inBatch = 0;
		this.missingInBatch = 0;
	}

	@Override
	public void flush() {
		this.out.flush();
	}

	@Override
	public void close() {
		this.running = false;
		try {
			this.writer.join(STOP_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
