package org.snowwind.entry.member;

import java.util.TreeSet;

import org.snowwind.decide.ledger.AttemptId;

/**
 * Gives out attempt ids and knows below which none is outstanding. Confined to the loop,
 * but for the floor, which any thread may read.
 */
public final class AttemptSequence {

	private final long incarnation;

	private final TreeSet<Long> outstanding = new TreeSet<>();

	private long next = 1;

	private volatile long floor = 1;

	/**
	 * Creates a sequence.
	 * @param incarnation this run of the entry
	 */
	public AttemptSequence(long incarnation) {
		this.incarnation = incarnation;
	}

	/**
	 * Gives out an id.
	 * @return an id that was never given out
	 */
	public AttemptId begin() {
		long sequence = this.next++;
		this.outstanding.add(sequence);
		return new AttemptId(this.incarnation, sequence);
	}

	/**
	 * Takes note that nothing more is wanted of an attempt; a late copy may be refused.
	 * @param id the attempt
	 */
	public void end(AttemptId id) {
		this.outstanding.remove(id.sequence());
		this.floor = this.outstanding.isEmpty() ? this.next : this.outstanding.first();
	}

	/**
	 * Returns the floor.
	 * @return no attempt below it is outstanding or will be sent
	 */
	public long floor() {
		return this.floor;
	}

	/**
	 * Returns the incarnation.
	 * @return this run of the entry
	 */
	public long incarnation() {
		return this.incarnation;
	}

}
