package org.snowwind.decide.ledger;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.snowwind.decide.silence.AttentiveTime;

/**
 * Records which attempts have begun and which are revoked and must never begin.
 *
 * <p>
 * Memory is bounded by the number of outstanding attempts. With each heartbeat, an entry
 * reports a floor: no attempt with a lower sequence is outstanding or will be sent. An
 * attempt below the floor that still arrives is rejected, so nothing about it needs to be
 * kept. The incarnation of an entry that has been silent for long is retired and not
 * accepted again. The number of retired incarnations that are kept is bounded too.
 */
public final class AttemptLedger {

	private final int maxAttemptsPerEntry;

	private final int maxRetired;

	private final AttentiveTime attentive;

	private final Map<Long, EntryRecord> entries = new HashMap<>();

	private final LinkedHashSet<Long> retired = new LinkedHashSet<>();

	/**
	 * Creates an empty ledger.
	 * @param maxAttemptsPerEntry the maximum number of attempts that are kept for an
	 * entry
	 * @param maxRetired the maximum number of retired incarnations that are kept; the
	 * oldest are dropped first
	 * @param attentive the time in which this process was able to receive heartbeats
	 */
	public AttemptLedger(int maxAttemptsPerEntry, int maxRetired, AttentiveTime attentive) {
		this.maxAttemptsPerEntry = maxAttemptsPerEntry;
		this.maxRetired = maxRetired;
		this.attentive = attentive;
	}

	/**
	 * Records a heartbeat of an entry.
	 * @param entryIncarnation the incarnation of the entry
	 * @param sequenceFloor no attempt with a lower sequence is outstanding or will be
	 * sent
	 * @param nowMillis the time, in milliseconds
	 */
	public void heartbeat(long entryIncarnation, long sequenceFloor, long nowMillis) {
		if (this.retired.contains(entryIncarnation)) {
			return;
		}
		EntryRecord entry = this.entries.computeIfAbsent(entryIncarnation, (key) -> new EntryRecord());
		entry.lastHeartbeatMillis = nowMillis;
		entry.lastHeartbeatAttentiveMillis = this.attentive.millis(nowMillis);
		entry.raiseFloor(sequenceFloor);
	}

	/**
	 * Decides whether an attempt may begin, and if so records that it has begun.
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
		if (entry.size() >= this.maxAttemptsPerEntry) {
			return BeginVerdict.FULL;
		}
		entry.begun.add(id.sequence());
		return BeginVerdict.MAY_BEGIN;
	}

	/**
	 * Records that an attempt that was allowed to begin did not reach the back end. It
	 * counts as revoked from now on.
	 * @param id the attempt
	 */
	public void recordNeverReachedBackend(AttemptId id) {
		EntryRecord entry = this.entries.get(id.entryIncarnation());
		if (entry != null && entry.begun.remove(id.sequence())) {
			entry.revoked.add(id.sequence());
		}
	}

	/**
	 * Revokes an attempt, so that it cannot begin any more, unless it has already begun.
	 * @param id the attempt
	 * @return the outcome
	 */
	public RevokeOutcome revoke(AttemptId id) {
		EntryRecord entry = this.entries.get(id.entryIncarnation());
		if (entry == null || id.sequence() < entry.floor) {
			return RevokeOutcome.CANNOT_SAY;
		}
		if (entry.begun.contains(id.sequence())) {
			return RevokeOutcome.BEGAN;
		}
		if (!entry.revoked.contains(id.sequence()) && entry.size() >= this.maxAttemptsPerEntry) {
			return RevokeOutcome.CANNOT_SAY;
		}
		entry.revoked.add(id.sequence());
		return RevokeOutcome.NEVER_WILL_BEGIN;
	}

	/**
	 * Removes the entries that have been silent for long and retires their incarnations.
	 * @param nowMillis the time, in milliseconds
	 * @param retireAfterMillis entries without a heartbeat for longer are retired, in
	 * milliseconds of attentive time
	 */
	public void retireSilent(long nowMillis, long retireAfterMillis) {
		long attentiveMillis = this.attentive.millis(nowMillis);
		this.entries.entrySet().removeIf((entry) -> {
			boolean silent = attentiveMillis - entry.getValue().lastHeartbeatAttentiveMillis > retireAfterMillis;
			if (silent) {
				retire(entry.getKey());
			}
			return silent;
		});
	}

	/**
	 * Returns whether every known entry has sent a heartbeat after a time.
	 * @param sinceMillis the time, in milliseconds
	 * @return true if the last heartbeat of each entry came later
	 */
	public boolean allHeardAfter(long sinceMillis) {
		return this.entries.values().stream().allMatch((entry) -> entry.lastHeartbeatMillis > sinceMillis);
	}

	/**
	 * Returns the number of attempts that are kept.
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
	 * Verdict on whether an attempt may begin.
	 */
	public enum BeginVerdict {

		/** The attempt may begin, and counts as begun from now on. */
		MAY_BEGIN,

		/** The attempt was revoked, or its sequence is below the floor. */
		REVOKED,

		/** The attempt has already begun. */
		DUPLICATE,

		/** The entry has sent no heartbeat yet or is retired. */
		UNKNOWN_ENTRY,

		/** Too many attempts of the entry are outstanding. */
		FULL

	}

	/**
	 * Outcome of revoking an attempt.
	 */
	public enum RevokeOutcome {

		/** The attempt had already begun. */
		BEGAN,

		/** The attempt had not begun and never will. */
		NEVER_WILL_BEGIN,

		/**
		 * The ledger does not know whether the attempt began, or it has no space to
		 * revoke it.
		 */
		CANNOT_SAY

	}

	private static final class EntryRecord {

		private final Set<Long> begun = new HashSet<>();

		private final Set<Long> revoked = new HashSet<>();

		private long floor;

		private long lastHeartbeatMillis;

		private long lastHeartbeatAttentiveMillis;

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
