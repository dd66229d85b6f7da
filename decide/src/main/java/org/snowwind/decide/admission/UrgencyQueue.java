package org.snowwind.decide.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Orders work that waits for room by its urgency.
 *
 * <p>
 * Handles load of unequal urgency that exceeds the room for less than the time that work
 * can wait. The order is by priority, then by the time until which work has to begin,
 * then by turns between organisations: within a priority and a step of
 * {@value #STEP_MILLIS} ms of that time, the first work of each organisation is before
 * the second work of any. The position is fixed when work is added.
 *
 * <p>
 * Adding and removing take a number of comparisons logarithmic in the size.
 *
 * @param <L> the type of lanes; work of one lane has the same requirements, except for
 * what single work excludes
 * @param <T> the type of the work
 */
public final class UrgencyQueue<L, T> {

	/**
	 * The time by which differences do not decide, in milliseconds. A stream has no event
	 * for about this long even without load, so that it makes no difference to callers.
	 */
	static final long STEP_MILLIS = 50;

	private final Comparator<Entry<L, T>> order = Comparator.comparingInt((Entry<L, T> entry) -> entry.priority)
		.thenComparingLong((entry) -> entry.dueMillis / STEP_MILLIS)
		.thenComparingInt((entry) -> entry.turn)
		.thenComparingLong((entry) -> entry.sequence);

	private final Map<L, TreeSet<Entry<L, T>>> lanes = new HashMap<>();

	private final TreeSet<Entry<L, T>> all = new TreeSet<>(this.order);

	private final TreeSet<Entry<L, T>> byDue = new TreeSet<>(
			Comparator.comparingLong((Entry<L, T> entry) -> entry.dueMillis)
				.thenComparingLong((entry) -> entry.sequence));

	private final TreeMap<Long, Entry<L, T>> bySequence = new TreeMap<>();

	private final Map<Integer, Integer> sizeByPriority = new HashMap<>();

	private final Map<Turns, Integer> turns = new HashMap<>();

	private final int maxSkipped;

	private long sequence;

	/**
	 * Creates an empty queue.
	 * @param maxSkipped how much work a scan passes over in one lane before it leaves the
	 * lane
	 */
	public UrgencyQueue(int maxSkipped) {
		this.maxSkipped = maxSkipped;
	}

	/**
	 * Adds work.
	 * @param work the work
	 * @param lane its lane
	 * @param priority its priority, 0 is the most urgent
	 * @param organisation the organisation that it belongs to; {@code null} if it is not
	 * known
	 * @param dueMillis the time by which work is ordered within a priority, in
	 * milliseconds
	 * @return the queued work
	 */
	public Entry<L, T> add(T work, L lane, int priority, String organisation, long dueMillis) {
		Turns key = new Turns(priority, dueMillis / STEP_MILLIS, organisation);
		int turn = this.turns.merge(key, 1, Integer::sum) - 1;
		Entry<L, T> entry = new Entry<>(work, lane, priority, key, turn, dueMillis, this.sequence++);
		this.lanes.computeIfAbsent(lane, (added) -> new TreeSet<>(this.order)).add(entry);
		this.all.add(entry);
		this.byDue.add(entry);
		this.bySequence.put(entry.sequence, entry);
		this.sizeByPriority.merge(priority, 1, Integer::sum);
		return entry;
	}

	/**
	 * Removes work.
	 * @param entry the work
	 * @return false if it was not queued any more
	 */
	public boolean remove(Entry<L, T> entry) {
		if (!this.all.remove(entry)) {
			return false;
		}
		TreeSet<Entry<L, T>> lane = this.lanes.get(entry.lane);
		lane.remove(entry);
		if (lane.isEmpty()) {
			this.lanes.remove(entry.lane);
		}
		this.byDue.remove(entry);
		this.bySequence.remove(entry.sequence);
		this.sizeByPriority.merge(entry.priority, -1, Integer::sum);
		this.turns.computeIfPresent(entry.turns, (key, count) -> (count > 1) ? count - 1 : null);
		return true;
	}

	/**
	 * Returns the amount of queued work.
	 * @return the number of entries
	 */
	public int size() {
		return this.all.size();
	}

	/**
	 * Returns how much of the work is as urgent as a priority or more urgent.
	 * @param priority the priority
	 * @return the number of entries
	 */
	public int sizeUpTo(int priority) {
		return this.sizeByPriority.entrySet()
			.stream()
			.filter((size) -> size.getKey() <= priority)
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

	/**
	 * Returns the work that has to begin first.
	 * @return the entry, empty if the queue is empty
	 */
	public Optional<Entry<L, T>> firstDue() {
		return this.byDue.isEmpty() ? Optional.empty() : Optional.of(this.byDue.first());
	}

	/**
	 * Returns the last work in the order.
	 * @return the entry, empty if the queue is empty
	 */
	public Optional<Entry<L, T>> last() {
		return this.all.isEmpty() ? Optional.empty() : Optional.of(this.all.last());
	}

	/**
	 * Returns the work that was added first among all that was added before given work.
	 * @param entry the work, which need not be queued any more
	 * @return the entry, empty if no queued work was added before
	 */
	public Optional<Entry<L, T>> longestWaitingBefore(Entry<L, T> entry) {
		return Optional.ofNullable(this.bySequence.firstEntry())
			.map(Map.Entry::getValue)
			.filter((first) -> first.sequence < entry.sequence);
	}

	/**
	 * Starts to look for work that can begin.
	 * @return a scan over all lanes in order
	 */
	public Scan scan() {
		return new Scan();
	}

	private record Turns(int priority, long step, String organisation) {

	}

	/**
	 * Queued work.
	 *
	 * @param <L> the type of lanes
	 * @param <T> the type of the work
	 */
	public static final class Entry<L, T> {

		private final T work;

		private final L lane;

		private final int priority;

		private final Turns turns;

		private final int turn;

		private final long dueMillis;

		private final long sequence;

		private Entry(T work, L lane, int priority, Turns turns, int turn, long dueMillis, long sequence) {
			this.work = work;
			this.lane = lane;
			this.priority = priority;
			this.turns = turns;
			this.turn = turn;
			this.dueMillis = dueMillis;
			this.sequence = sequence;
		}

		/**
		 * Returns the work.
		 * @return the work
		 */
		public T work() {
			return this.work;
		}

		/**
		 * Returns the priority.
		 * @return the priority, 0 is the most urgent
		 */
		public int priority() {
			return this.priority;
		}

	}

	/**
	 * One pass over the work in order. Work may be added and removed meanwhile; what is
	 * added is not always found.
	 */
	public final class Scan {

		private final Map<L, Entry<L, T>> positions = new HashMap<>();

		private final Map<L, Integer> skipped = new HashMap<>();

		private final Set<L> left = new HashSet<>();

		/**
		 * Returns the next work of the lanes that the scan has not left.
		 * @return the entry, empty at the end of the scan
		 */
		public Optional<Entry<L, T>> next() {
			Entry<L, T> best = null;
			for (Map.Entry<L, TreeSet<Entry<L, T>>> lane : UrgencyQueue.this.lanes.entrySet()) {
				if (!this.left.contains(lane.getKey())) {
					Entry<L, T> position = this.positions.get(lane.getKey());
					Entry<L, T> candidate = (position != null) ? lane.getValue().higher(position)
							: lane.getValue().first();
					boolean better = candidate != null
							&& (best == null || UrgencyQueue.this.order.compare(candidate, best) < 0);
					best = better ? candidate : best;
				}
			}
			if (best != null) {
				this.positions.put(best.lane, best);
			}
			return Optional.ofNullable(best);
		}

		/**
		 * Leaves the lane of work, since there is no room for any work of the lane.
		 * @param entry the work
		 */
		public void leaveLane(Entry<L, T> entry) {
			this.left.add(entry.lane);
		}

		/**
		 * Passes over work for which there is no room although there may be room for
		 * other work of its lane.
		 * @param entry the work
		 */
		public void skip(Entry<L, T> entry) {
			if (this.skipped.merge(entry.lane, 1, Integer::sum) >= UrgencyQueue.this.maxSkipped) {
				leaveLane(entry);
			}
		}

	}

}
