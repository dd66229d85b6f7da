package org.snowwind.http.server;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes that this process holds for callers and decides, above the bound on
 * their sum, whose connection is closed. Changes are confined to one thread; sums may be
 * read by any.
 *
 * <p>
 * Handles callers that read slowly or not at all. A change costs O(1); naming a
 * connection costs O(connections), and each named connection is closed.
 */
public final class HeldBytes {

	/**
	 * The fraction of the smallest memory that bounds the sum. A byte that waits may
	 * exist in an array of twice its size and as a copy in direct memory, and the rest of
	 * the process needs as much as one of these copies.
	 */
	private static final double MEMORY_SHARE = 0.25;

	/**
	 * A caller that took nothing for this time while bytes waited counts as not reading,
	 * in milliseconds. It is longer than the retransmission of a lost packet and half of
	 * the shortest gap after which callers give up.
	 */
	private static final long STALL_MILLIS = 1000;

	/**
	 * The fraction of the bound that one caller may hold while more is read for it: some
	 * callers that read nothing must not cost others their connection.
	 */
	private static final double OWN_SHARE = 0.25;

	/**
	 * The fraction of the bound up to which more is read for callers that are behind; the
	 * rest is for bodies and whole responses.
	 */
	private static final double READ_ON_SHARE = 0.75;

	private final long boundBytes;

	private final Set<Holder> holders = new LinkedHashSet<>();

	private final AtomicLong sumBytes = new AtomicLong();

	private final AtomicLong closedConnections = new AtomicLong();

	/**
	 * Creates an empty count.
	 * @param boundBytes the bound on the sum, in bytes; 0 for no bound
	 */
	public HeldBytes(long boundBytes) {
		this.boundBytes = boundBytes;
	}

	/**
	 * Creates a count whose bound follows from the memory of the process.
	 * @param vmBytes the memory of the VM, in bytes
	 * @param heapBytes the maximum heap, in bytes
	 * @param directBytes the maximum direct memory, in bytes
	 * @return the count
	 */
	public static HeldBytes within(long vmBytes, long heapBytes, long directBytes) {
		long smallestBytes = Math.min(vmBytes, Math.min(heapBytes, directBytes));
		return new HeldBytes(Math.max(1, (long) (MEMORY_SHARE * smallestBytes)));
	}

	/**
	 * Creates a count that counts nothing.
	 * @return a count without a bound
	 */
	public static HeldBytes unbounded() {
		return new HeldBytes(0);
	}

	/**
	 * Returns whether bytes are counted.
	 * @return false if there is no bound
	 */
	public boolean isBounded() {
		return this.boundBytes > 0;
	}

	/**
	 * Returns the bound on the sum.
	 * @return the bound, in bytes; 0 for no bound
	 */
	public long boundBytes() {
		return this.boundBytes;
	}

	/**
	 * Returns what is held for all callers.
	 * @return the sum, in bytes
	 */
	public long sumBytes() {
		return this.sumBytes.get();
	}

	/**
	 * Returns how many connections were named.
	 * @return the number of connections closed for memory
	 */
	public long closedConnections() {
		return this.closedConnections.get();
	}

	/**
	 * Adds a caller's connection, for which nothing is held.
	 * @param close closes the connection
	 * @return the connection's part in the count
	 */
	Holder open(Runnable close) {
		Holder holder = new Holder(close);
		if (isBounded()) {
			this.holders.add(holder);
		}
		return holder;
	}

	/**
	 * Removes a connection with all that is held for it. Later changes of it have no
	 * effect.
	 * @param holder the connection
	 */
	void remove(Holder holder) {
		if (this.holders.remove(holder)) {
			this.sumBytes.addAndGet(-holder.bytes());
			holder.removed = true;
		}
	}

	/**
	 * Records bytes that were written and that the caller did not take at once.
	 * @param holder the caller's connection
	 * @param bytes how many
	 * @param nowMillis the time, in milliseconds
	 */
	void written(Holder holder, long bytes, long nowMillis) {
		if (holder.removed) {
			return;
		}
		if (holder.untakenBytes == 0) {
			holder.waitingSinceMillis = nowMillis;
		}
		holder.untakenBytes += bytes;
		this.sumBytes.addAndGet(bytes);
	}

	/**
	 * Records that the caller took bytes that had been recorded as written.
	 * @param holder the caller's connection
	 * @param bytes how many
	 * @param nowMillis the time, in milliseconds
	 */
	void taken(Holder holder, long bytes, long nowMillis) {
		if (holder.removed) {
			return;
		}
		holder.waitingSinceMillis = nowMillis;
		holder.untakenBytes -= bytes;
		this.sumBytes.addAndGet(-bytes);
	}

	/**
	 * Sets what is held for a caller's request apart from what was written.
	 * @param holder the caller's connection
	 * @param bytes the size of the request's body and of the buffered response, in bytes
	 */
	void buffered(Holder holder, long bytes) {
		if (!holder.removed) {
			this.sumBytes.addAndGet(bytes - holder.bufferedBytes);
			holder.bufferedBytes = bytes;
		}
	}

	/**
	 * Returns whether more may be read for a caller that is behind.
	 * @param holder the caller's connection
	 * @return false if it holds its part of the bound, or all hold theirs
	 */
	boolean allowsReading(Holder holder) {
		return allowsReading(holder, OWN_SHARE);
	}

	/**
	 * Returns whether reading that had stopped may go on. Its limit is half of the one at
	 * which reading stops, so that reading does not toggle with each event.
	 * @param holder the caller's connection
	 * @return true if it is well below its part of the bound
	 */
	boolean allowsResuming(Holder holder) {
		return allowsReading(holder, OWN_SHARE / 2);
	}

	private boolean allowsReading(Holder holder, double share) {
		return isBounded() && !holder.removed && holder.bytes() < share * this.boundBytes
				&& sumBytes() < READ_ON_SHARE * this.boundBytes;
	}

	/**
	 * Names the connection to close next while the sum is above the bound, and removes
	 * it.
	 * @param nowMillis the time, in milliseconds
	 * @return the slowest reader with the most bytes, empty if the sum is within the
	 * bound
	 */
	Optional<Holder> removeExcess(long nowMillis) {
		if (!isBounded() || sumBytes() <= this.boundBytes) {
			return Optional.empty();
		}
		Holder named = null;
		for (Holder holder : this.holders) {
			if (named == null || precedes(holder, named, nowMillis)) {
				named = holder;
			}
		}
		if (named != null) {
			remove(named);
			this.closedConnections.incrementAndGet();
		}
		return Optional.ofNullable(named);
	}

	private static boolean precedes(Holder holder, Holder other, long nowMillis) {
		boolean stalled = holder.stalledMillis(nowMillis) >= STALL_MILLIS;
		boolean otherStalled = other.stalledMillis(nowMillis) >= STALL_MILLIS;
		return (stalled != otherStalled) ? stalled : holder.bytes() > other.bytes();
	}

	/**
	 * What is held for one connection.
	 */
	static final class Holder {

		private final Runnable close;

		private long untakenBytes;

		private long bufferedBytes;

		private long waitingSinceMillis;

		private boolean removed;

		private Holder(Runnable close) {
			this.close = close;
		}

		/**
		 * Returns all bytes that are held for the connection.
		 * @return the number of bytes
		 */
		long bytes() {
			return this.untakenBytes + this.bufferedBytes;
		}

		/**
		 * Returns the bytes that wait for the caller.
		 * @return the number of bytes that were written and not taken
		 */
		long untakenBytes() {
			return this.untakenBytes;
		}

		/**
		 * Returns for how long bytes have waited of which the caller took none.
		 * @param nowMillis the time, in milliseconds
		 * @return the time, in milliseconds; 0 if no bytes wait
		 */
		long stalledMillis(long nowMillis) {
			return (this.untakenBytes > 0) ? nowMillis - this.waitingSinceMillis : 0;
		}

		/**
		 * Closes the connection.
		 */
		void close() {
			this.close.run();
		}

	}

}
