package org.snowwind.gateway.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.snowwind.http.server.SendProgress;
import org.snowwind.model.MonotonicClock;

/**
 * Bounds the bytes of backend servers' answers that this process holds: plain answers
 * until callers have taken them, and incomplete events of streams. Confined to the event
 * loop.
 *
 * <p>
 * A server may send without end. Each answer has a bound, and so has the sum: above it,
 * the largest answer of the server that fills most of the sum is ended, and its request
 * is handled as after any broken answer. So a server loses no answer to the sum as long
 * as it holds no more than an equal part of it, whatever the others send.
 *
 * <p>
 * A caller may take its answer slowly. Above the sum, answers that are taken slowly end
 * before any other, the slowest first: neither an incomplete answer nor a caller that
 * reads pays for them. A change costs O(1); above the sum, naming an answer costs
 * O(answers).
 */
public final class AnswerMemory {

	/**
	 * The fraction of the heap that all held answers may fill. While an answer is passed
	 * on, it exists a second time, and half of the heap is left for everything else.
	 */
	private static final double SUM_SHARE = 0.25;

	/** The fraction of the heap that one plain answer may fill. */
	private static final double ANSWER_SHARE = SUM_SHARE / 2;

	/**
	 * The fraction of the heap that one incomplete event may fill. An event is held in an
	 * array that is copied as it grows.
	 */
	private static final double EVENT_SHARE = SUM_SHARE / 16;

	/**
	 * How long an answer is sent before it can count as taken slowly, in milliseconds. It
	 * is longer than the retransmission of a lost packet.
	 */
	private static final long SLOW_AFTER_MILLIS = 500;

	/**
	 * A caller that takes less than this of an answer counts as slow, in bytes for each
	 * millisecond: one megabyte per second.
	 */
	private static final long SLOW_BYTES_PER_MILLI = 1000;

	private final long sumBoundBytes;

	private final long answerBoundBytes;

	private final long eventBoundBytes;

	private final MonotonicClock clock;

	private final Set<Holder> holders = new HashSet<>();

	private final Set<Sending> sendings = new HashSet<>();

	private final AtomicLong sumBytes = new AtomicLong();

	private final AtomicLong endedAnswers = new AtomicLong();

	private final AtomicLong resetCallers = new AtomicLong();

	private AnswerMemory(long heapBytes, MonotonicClock clock) {
		this.clock = clock;
		this.sumBoundBytes = (long) (SUM_SHARE * heapBytes);
		this.answerBoundBytes = (long) (ANSWER_SHARE * heapBytes);
		this.eventBoundBytes = (long) (EVENT_SHARE * heapBytes);
	}

	/**
	 * Creates bounds that follow from the heap.
	 * @param heapBytes the largest size of the heap, in bytes
	 * @param clock the clock
	 * @return the bounds, with nothing held
	 */
	public static AnswerMemory within(long heapBytes, MonotonicClock clock) {
		return new AnswerMemory(heapBytes, clock);
	}

	/**
	 * Returns what all answers hold.
	 * @return the sum, in bytes; may be read by any thread
	 */
	public long sumBytes() {
		return this.sumBytes.get();
	}

	/**
	 * Returns how many answers were ended because of a bound.
	 * @return the number of answers; may be read by any thread
	 */
	public long endedAnswers() {
		return this.endedAnswers.get();
	}

	/**
	 * Returns how many callers were reset because they took an answer slowly.
	 * @return the number of callers; may be read by any thread
	 */
	public long resetCallers() {
		return this.resetCallers.get();
	}

	/**
	 * Registers the metrics.
	 * @param registry the registry to register them with
	 */
	public void registerMeters(MeterRegistry registry) {
		Gauge.builder("snowwind.gateway.answers.held.bytes", this, AnswerMemory::sumBytes).register(registry);
		Gauge.builder("snowwind.gateway.answers.held.bound.bytes", () -> this.sumBoundBytes).register(registry);
		FunctionCounter.builder("snowwind.gateway.answers.over.memory", this, AnswerMemory::endedAnswers)
			.register(registry);
		FunctionCounter.builder("snowwind.gateway.answers.callers.reset", this, AnswerMemory::resetCallers)
			.register(registry);
	}

	/**
	 * Adds a complete answer that is sent to its caller.
	 * @param bytes its size, in bytes
	 * @param caller resets the caller's connection
	 * @return the answer's part in the sum
	 */
	Sending send(long bytes, Limit caller) {
		return new Sending(bytes, caller);
	}

	/**
	 * Adds an answer that holds nothing yet.
	 * @param server the server that sends it
	 * @param stream whether only incomplete events of it are held
	 * @param limit ends the answer
	 * @return the answer's part in the sum
	 */
	Holder open(String server, boolean stream, Limit limit) {
		return new Holder(server, stream ? this.eventBoundBytes : this.answerBoundBytes, limit);
	}

	private void makeRoom() {
		String reason = "the answers of all servers hold more than " + this.sumBoundBytes + " bytes";
		while (sumBytes() > this.sumBoundBytes) {
			Sending slowest = slowestSending();
			if (slowest != null) {
				slowest.reset(reason);
			}
			else {
				largestOfFullestServer().end(reason);
			}
		}
	}

	private Sending slowestSending() {
		long nowMillis = this.clock.nowMillis();
		Sending slowest = null;
		for (Sending sending : this.sendings) {
			if (sending.isSlow(nowMillis) && (slowest == null || sending.isSlowerThan(slowest, nowMillis))) {
				slowest = sending;
			}
		}
		return slowest;
	}

	private Holder largestOfFullestServer() {
		Map<String, Long> byServer = new HashMap<>();
		this.holders.forEach((holder) -> byServer.merge(holder.server, holder.bytes, Long::sum));
		Holder largest = null;
		for (Holder holder : this.holders) {
			if (largest == null || exceeds(holder, largest, byServer)) {
				largest = holder;
			}
		}
		return largest;
	}

	private static boolean exceeds(Holder holder, Holder other, Map<String, Long> byServer) {
		int servers = byServer.get(holder.server).compareTo(byServer.get(other.server));
		return (servers != 0) ? servers > 0 : holder.bytes > other.bytes;
	}

	/**
	 * Ends an answer that exceeds a bound.
	 */
	@FunctionalInterface
	interface Limit {

		/**
		 * Ends the answer. Its bytes no longer count.
		 * @param reason the exceeded bound, for the log
		 */
		void exceeded(String reason);

	}

	/**
	 * What is held of one complete answer until its caller has taken it.
	 */
	final class Sending implements SendProgress {

		private final Limit caller;

		private final long sinceMillis;

		private long bytes;

		/**
		 * What the caller took, without what the connection took at once, in bytes.
		 */
		private long takenBytes;

		private Sending(long bytes, Limit caller) {
			this.bytes = bytes;
			this.caller = caller;
			this.sinceMillis = AnswerMemory.this.clock.nowMillis();
			AnswerMemory.this.sendings.add(this);
			AnswerMemory.this.sumBytes.addAndGet(bytes);
		}

		/**
		 * Records that the connection has taken at once what it buffers, which says
		 * nothing about the caller.
		 */
		void begun() {
			this.takenBytes = 0;
		}

		@Override
		public void taken(int blockBytes) {
			if (AnswerMemory.this.sendings.contains(this)) {
				this.takenBytes += blockBytes;
				this.bytes -= blockBytes;
				AnswerMemory.this.sumBytes.addAndGet(-blockBytes);
			}
		}

		@Override
		public void ended() {
			if (AnswerMemory.this.sendings.remove(this)) {
				AnswerMemory.this.sumBytes.addAndGet(-this.bytes);
			}
		}

		private long ageMillis(long nowMillis) {
			return nowMillis - this.sinceMillis;
		}

		private boolean isSlow(long nowMillis) {
			long ageMillis = ageMillis(nowMillis);
			return ageMillis >= SLOW_AFTER_MILLIS && this.takenBytes < SLOW_BYTES_PER_MILLI * ageMillis;
		}

		private boolean isSlowerThan(Sending other, long nowMillis) {
			return this.takenBytes * other.ageMillis(nowMillis) < other.takenBytes * ageMillis(nowMillis);
		}

		private void reset(String reason) {
			ended();
			AnswerMemory.this.resetCallers.incrementAndGet();
			this.caller.exceeded(reason);
		}

	}

	/**
	 * What one answer holds.
	 */
	final class Holder {

		private final String server;

		private final long boundBytes;

		private final Limit limit;

		private long bytes;

		private boolean closed;

		private Holder(String server, long boundBytes, Limit limit) {
			this.server = server;
			this.boundBytes = boundBytes;
			this.limit = limit;
		}

		/**
		 * Sets what is held, before more is held than that. May end this answer or
		 * others.
		 * @param nowBytes the number of bytes
		 * @return false if this answer has ended
		 */
		boolean holds(long nowBytes) {
			if (this.closed) {
				return false;
			}
			set(nowBytes);
			if (nowBytes > this.boundBytes) {
				end("the answer holds more than " + this.boundBytes + " bytes");
			}
			makeRoom();
			return !this.closed;
		}

		private void set(long nowBytes) {
			if (nowBytes > 0) {
				AnswerMemory.this.holders.add(this);
			}
			else {
				AnswerMemory.this.holders.remove(this);
			}
			AnswerMemory.this.sumBytes.addAndGet(nowBytes - this.bytes);
			this.bytes = nowBytes;
		}

		/**
		 * Ends the part in the sum, since nothing is held any more.
		 */
		void close() {
			if (!this.closed) {
				set(0);
				this.closed = true;
			}
		}

		private void end(String reason) {
			close();
			AnswerMemory.this.endedAnswers.incrementAndGet();
			this.limit.exceeded(reason);
		}

	}

}
