package org.snowwind.decide.ledger;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Remembers which attempts began and which never may.
 *
 * <p>
 * Memory is bounded by what is outstanding. An entry states with each heartbeat a floor
 * below which none of its attempts is outstanding or will be sent; what lies below the
 * floor is refused if it still arrives, so nothing about it needs to be kept. An entry
 * that has not been heard of for long is retired by its incarnation, which is never
 * accepted again.
 */
public final class Ledger {

	private final int maxRemembered;

	private final int maxRetired;

	private final Map<Long, EntryRecord> entries = new HashMap<>();

	private final LinkedHashSet<Long> retired = new LinkedHashSet<>();

	/**
	 * Creates an empty ledger.
	 * @param maxRemembered how many outstanding attempts of one entry are remembered
	 * @param maxRetired how many retired incarnations are remembered
	 */
	public Ledger(int maxRemembered, int maxRetired) {
		this.maxRemembered = maxRemembered;
		this.maxRetired = maxRetired;
	}

	/**
	 * Takes note of an entry's heartbeat.
	 * @param entryIncarnation the entry's incarnation
	 * @param sequenceFloor no attempt below it is outstanding or will be sent
	 * @param nowMillis the time, in milliseconds
	 */
	public void heartbeat(long entryIncarnation, long sequenceFloor, long nowMillis) {
		if (this.retired.contains(entryIncarnation)) {
			return;
		}
		EntryRecord entry = this.entries.computeIfAbsent(entryIncarnation, (key) -> new EntryRecord());
		entry.lastHeardMillis = nowMillis;
		entry.raiseFloor(sequenceFloor);
	}

	/**
	 * Asks whether an attempt may begin, and takes note that it does.
	 * @param id the attempt
	 * @return the verdict
	 */
	public BeginVerdict begin(AttemptId id) {
		EntryRecord entry = this.entries.get(id.entryIncarnation());
		if (entry == null) {
			return BeginVerdict.UNKNOWN_ENTRY;
		}
		if (id.sequence() < entry.floor || entry.revoked.contains(id.sequence())) {
			return BeginVerdict.REVOKED;
		}
		if (entry.begun.contains(id.sequence())) {
			return BeginVerdict.DUPLICATE;
		}
		if (entry.size() >= this.maxRemembered) {
			return BeginVerdict.FULL;
		}
		entry.begun.add(id.sequence());
		return BeginVerdict.MAY_BEGIN;
	}

	/**
	 * Takes note that an attempt that was let begin did not reach the back end.
	 * @param id the attempt
	 */
	public void neverReachedBackend(AttemptId id) {
		EntryRecord entry = this.entries.get(id.entryIncarnation());
		if (entry != null && entry.begun.remove(id.sequence())) {
			entry.revoked.add(id.sequence());
		}
	}

	/**
	 * Keeps an attempt from beginning.
	 * @param id the attempt
	 * @return the verdict
	 */
	public RevokeOutcome revoke(AttemptId id) {
		EntryRecord entry = this.entries.get(id.entryIncarnation());
		if (entry == null || id.sequence() < entry.floor) {
			return RevokeOutcome.CANNOT_SAY;
		}
		if (entry.begun.contains(id.sequence())) {
			return RevokeOutcome.BEGAN;
		}
		if (!entry.revoked.contains(id.sequence()) && entry.size() >= this.maxRemembered) {
			return RevokeOutcome.CANNOT_SAY;
		}
		entry.revoked.add(id.sequence());
		return RevokeOutcome.NEVER_WILL_BEGIN;
	}

	/**
	 * Forgets entries that have long been silent and refuses them for good.
	 * @param heardSinceMillis entries not heard of since then are retired, in
	 * milliseconds
	 */
	public void retireSilent(long heardSinceMillis) {
		this.entries.entrySet().removeIf((entry) -> {
			boolean silent = entry.getValue().lastHeardMillis < heardSinceMillis;
			if (silent) {
				retire(entry.getKey());
			}
			return silent;
		});
	}

	/**
	 * Tells whether every entry that is known has been heard of since a time.
	 * @param sinceMillis the time, in milliseconds
	 * @return true if the last heartbeat of each came later
	 */
	public boolean allHeardAfter(long sinceMillis) {
		return this.entries.values().stream().allMatch((entry) -> entry.lastHeardMillis > sinceMillis);
	}

	/**
	 * Counts what is remembered.
	 * @return the number of attempts
	 */
	public int size() {
		return this.entries.values().stream().mapToInt(EntryRecord::size).sum();
	}

	private void retire(Long entryIncarnation) {
		this.retired.add(entryIncarnation);
		if (this.retired.size() > this.maxRetired) {
			this.retired.remove(this.retired.iterator().next());
		}
	}

	/**
	 * Whether an attempt may begin.
	 */
	public enum BeginVerdict {

		/** It may, and counts as begun from now on. */
		MAY_BEGIN,

		/** It was revoked, or everything as old as it was. */
		REVOKED,

		/** It began before. */
		DUPLICATE,

		/** Its entry has sent no heartbeat yet or is retired. */
		UNKNOWN_ENTRY,

		/** Too many attempts of its entry are outstanding. */
		FULL

	}

	/**
	 * What is known of a revoked attempt.
	 */
	public enum RevokeOutcome {

		/** It had begun. */
		BEGAN,

		/** It had not begun and never will. */
		NEVER_WILL_BEGIN,

		/** This ledger cannot say. */
		CANNOT_SAY

	}

	private static final class EntryRecord {

		private final Set<Long> begun = new HashSet<>();

		private final Set<Long> revoked = new HashSet<>();

		private long floor;

		private long lastHeardMillis;

		private int size() {
			return this.begun.size() + this.revoked.size();
		}

		private void raiseFloor(long sequenceFloor) {
			if (sequenceFloor <= this.floor) {
				return;
			}
			this.floor = sequenceFloor;
			this.begun.removeIf((sequence) -> sequence < sequenceFloor);
			this.revoked.removeIf((sequence) -> sequence < sequenceFloor);
		}

	}

}
