package org.snowwind.http.server;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import org.snowwind.model.MonotonicClock;

/**
 * Bounds the memory that requests of all callers of a server take, and decides which
 * request is rejected above the bound. Confined to the loop; sums may be read by any
 * thread.
 *
 * <p>
 * A request counts from its first byte until its exchange has ended, since its body is
 * kept for further attempts. Only a request that is not complete can be rejected. A
 * change costs O(1); a rejection costs O(connections).
 */
public final class RequestMemory {

	/** The fraction of the heap that requests may take. */
	private static final double HEAP_SHARE = 0.25;

	/**
	 * The fraction of the bound that large requests may fill, so that small requests are
	 * served beside them.
	 */
	private static final double LARGE_REQUESTS_SHARE = 0.875;

	/** The fraction of the bound up to which a request is small. */
	private static final double SMALL_REQUEST_SHARE = 1.0 / 64;

	/**
	 * A large request of which nothing came for this time is rejected before others, in
	 * milliseconds. It is longer than the retransmission of a lost packet.
	 */
	private static final long STALL_MILLIS = 1000;

	private final long boundBytes;

	private final MonotonicClock clock;

	private final Set<Holder> holders = new LinkedHashSet<>();

	private final AtomicLong sumBytes = new AtomicLong();

	private final AtomicLong rejectedRequests = new AtomicLong();

	/**
	 * Creates an empty count.
	 * @param boundBytes the bound on the sum, in bytes
	 * @param clock the clock
	 */
	public RequestMemory(long boundBytes, MonotonicClock clock) {
		this.boundBytes = boundBytes;
		this.clock = clock;
	}

	/**
	 * Creates a count whose bound follows from the heap.
	 * @param heapBytes the maximum heap, in bytes
	 * @return the count
	 */
	public static RequestMemory ofHeap(long heapBytes) {
		return new RequestMemory((long) (HEAP_SHARE * heapBytes), MonotonicClock.system());
	}

	/**
	 * Returns the bound on the sum.
	 * @return the bound, in bytes
	 */
	public long boundBytes() {
		return this.boundBytes;
	}

	/**
	 * Returns what the requests of all callers take.
	 * @return the sum, in bytes
	 */
	public long sumBytes() {
		return this.sumBytes.get();
	}

	/**
	 * Returns how many requests were rejected.
	 * @return the number of rejected requests
	 */
	public long rejectedRequests() {
		return this.rejectedRequests.get();
	}

	/**
	 * Adds a connection, whose requests take nothing yet.
	 * @param reject rejects what is not complete on the connection
	 * @return the connection's part in the count
	 */
	Holder open(Runnable reject) {
		Holder holder = new Holder(reject);
		this.holders.add(holder);
		return holder;
	}

	private boolean isLarge(long bytes) {
		return bytes > SMALL_REQUEST_SHARE * this.boundBytes;
	}

	private boolean exceeds(Holder asking) {
		double share = isLarge(asking.incompleteBytes()) ? LARGE_REQUESTS_SHARE : 1;
		return sumBytes() > share * this.boundBytes;
	}

	private boolean makeRoom(Holder asking) {
		asking.lastGrowthMillis = this.clock.nowMillis();
		while (exceeds(asking)) {
			Holder rejected = nextRejected(asking);
			rejected.dropIncomplete();
			this.rejectedRequests.incrementAndGet();
			rejected.reject.run();
			if (rejected == asking) {
				return false;
			}
		}
		return true;
	}

	private Holder nextRejected(Holder asking) {
		long nowMillis = this.clock.nowMillis();
		Holder named = asking;
		for (Holder holder : this.holders) {
			if (holder.incompleteBytes() > 0 && precedes(holder, named, nowMillis)) {
				named = holder;
			}
		}
		return named;
	}

	private boolean precedes(Holder holder, Holder other, long nowMillis) {
		boolean stalled = isStalled(holder, nowMillis);
		boolean otherStalled = isStalled(other, nowMillis);
		return (stalled != otherStalled) ? stalled : holder.incompleteBytes() > other.incompleteBytes();
	}

	private boolean isStalled(Holder holder, long nowMillis) {
		return isLarge(holder.incompleteBytes()) && nowMillis - holder.lastGrowthMillis >= STALL_MILLIS;
	}

	/**
	 * What the requests of one connection take: the current one, and what follows it.
	 */
	final class Holder {

		private final Runnable reject;

		private long headBytes;

		private long bodyBytes;

		private boolean complete;

		private long undecodedBytes;

		private long queuedBytes;

		private long lastGrowthMillis;

		private Holder(Runnable reject) {
			this.reject = reject;
		}

		private long bytes() {
			return this.headBytes + this.bodyBytes + this.undecodedBytes + this.queuedBytes;
		}

		private long incompleteBytes() {
			return this.complete ? this.undecodedBytes + this.queuedBytes : bytes();
		}

		/**
		 * Returns the largest body that fits if nothing else is held.
		 * @return the size, in bytes
		 */
		int maxBodyBytes() {
			long largestBytes = (long) (LARGE_REQUESTS_SHARE * RequestMemory.this.boundBytes) - this.headBytes;
			return (int) Math.max(0, Math.min(Integer.MAX_VALUE, largestBytes));
		}

		/**
		 * Records bytes that were received and not decoded yet.
		 * @param bytes how many more
		 * @return false if the request was rejected
		 */
		boolean receive(long bytes) {
			this.undecodedBytes += bytes;
			return resized(bytes);
		}

		/**
		 * Records that what was received has been decoded.
		 */
		void decoded() {
			resized(-this.undecodedBytes);
			this.undecodedBytes = 0;
		}

		/**
		 * Returns whether all that was received has been decoded.
		 * @return true if nothing waits to be decoded
		 */
		boolean isDecoded() {
			return this.undecodedBytes == 0;
		}

		/**
		 * Begins a request.
		 * @param bytes the size of its head, in bytes
		 * @return false if the request was rejected
		 */
		boolean beginRequest(long bytes) {
			this.headBytes = bytes;
			this.complete = false;
			return resized(bytes);
		}

		/**
		 * Records the memory of the body, before it is allocated.
		 * @param bytes its size, in bytes
		 * @return false if the request was rejected
		 */
		boolean resizeBody(long bytes) {
			long more = bytes - this.bodyBytes;
			this.bodyBytes = bytes;
			return resized(more);
		}

		/**
		 * Records that the request was read to its end: it is not rejected any more.
		 */
		void completeRequest() {
			this.complete = true;
		}

		/**
		 * Records that the request has ended and that nothing of it is kept.
		 */
		void endRequest() {
			resized(-this.headBytes - this.bodyBytes);
			this.headBytes = 0;
			this.bodyBytes = 0;
			this.complete = false;
		}

		/**
		 * Records what waits behind the current request.
		 * @param bytes how many more
		 * @return false if it was rejected
		 */
		boolean queue(long bytes) {
			this.queuedBytes += bytes;
			return resized(bytes);
		}

		/**
		 * Records that nothing waits behind the current request any more.
		 */
		void dequeueAll() {
			resized(-this.queuedBytes);
			this.queuedBytes = 0;
		}

		/**
		 * Removes the connection with all that it takes.
		 */
		void close() {
			this.complete = false;
			dropIncomplete();
			RequestMemory.this.holders.remove(this);
		}

		private void dropIncomplete() {
			dequeueAll();
			decoded();
			if (!this.complete) {
				endRequest();
			}
		}

		private boolean resized(long more) {
			RequestMemory.this.sumBytes.addAndGet(more);
			return more <= 0 || makeRoom(this);
		}

	}

}
