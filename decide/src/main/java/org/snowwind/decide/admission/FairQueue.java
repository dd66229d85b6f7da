package org.snowwind.decide.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Serves backlogged organisations in proportion to their weights by deficit round robin.
 *
 * <p>
 * Each organisation has a bounded queue. In each round it may spend a quantum, times its
 * weight, of cost. A served organisation is therefore at most one quantum and one request
 * ahead of its share, whatever the others send.
 *
 * @param <T> what waits
 */
public final class FairQueue<T> {

	private final double quantumCost;

	private final int maxWaitingPerOrganisation;

	private final ToDoubleFunction<String> weights;

	private final Map<String, Lane<T>> lanes = new HashMap<>();

	private final Deque<Lane<T>> active = new ArrayDeque<>();

	private int size;

	/**
	 * Creates an empty queue.
	 * @param quantumCost what an organisation of weight 1 may spend in a round
	 * @param maxWaitingPerOrganisation the bound of each organisation's queue
	 * @param weights the weight of an organisation by its name
	 */
	public FairQueue(double quantumCost, int maxWaitingPerOrganisation, ToDoubleFunction<String> weights) {
		this.quantumCost = quantumCost;
		this.maxWaitingPerOrganisation = maxWaitingPerOrganisation;
		this.weights = weights;
	}

	/**
	 * Adds work.
	 * @param organisation whose it is
	 * @param work the work
	 * @param cost what it costs
	 * @param deadlineMillis when it is of no more use, in milliseconds
	 * @return false if the organisation's queue is full
	 */
	public boolean offer(String organisation, T work, double cost, long deadlineMillis) {
		Lane<T> lane = this.lanes.computeIfAbsent(organisation, Lane::new);
		if (lane.waiting.size() >= this.maxWaitingPerOrganisation) {
			return false;
		}
		lane.waiting.add(new Waiting<>(work, cost, deadlineMillis));
		this.size++;
		if (!lane.active) {
			lane.active = true;
			lane.deficit = 0;
			lane.granted = false;
			this.active.addLast(lane);
		}
		return true;
	}

	/**
	 * Takes the next work.
	 * @return the work, or empty if nothing waits
	 */
	public Optional<T> poll() {
		return poll((organisation) -> true);
	}

	/**
	 * Takes the next work of organisations that may begin some.
	 * @param mayBegin whether an organisation may begin work now
	 * @return the work, or empty if none may begin
	 */
	public Optional<T> poll(Predicate<String> mayBegin) {
		int blockedInARow = 0;
		while (blockedInARow < this.active.size()) {
			Lane<T> lane = this.active.peekFirst();
			if (lane.waiting.isEmpty()) {
				retire(lane);
				continue;
			}
			if (!mayBegin.test(lane.organisation)) {
				blockedInARow++;
				rotate(lane);
				continue;
			}
			blockedInARow = 0;
			if (!lane.granted) {
				lane.granted = true;
				lane.deficit += this.quantumCost * this.weights.applyAsDouble(lane.organisation);
			}
			if (lane.waiting.peekFirst().cost() <= lane.deficit) {
				return Optional.of(serve(lane));
			}
			rotate(lane);
		}
		return Optional.empty();
	}

	private void rotate(Lane<T> lane) {
		lane.granted = false;
		this.active.addLast(this.active.removeFirst());
	}

	/**
	 * Removes all work whose deadline has passed.
	 * @param nowMillis the time, in milliseconds
	 * @return the removed work
	 */
	public List<T> expire(long nowMillis) {
		List<T> expired = new ArrayList<>();
		for (Lane<T> lane : this.active) {
			Iterator<Waiting<T>> waiting = lane.waiting.iterator();
			while (waiting.hasNext()) {
				Waiting<T> next = waiting.next();
				if (next.deadlineMillis() <= nowMillis) {
					waiting.remove();
					this.size--;
					expired.add(next.work());
				}
			}
		}
		return expired;
	}

	/**
	 * Removes one piece of work.
	 * @param organisation whose it is
	 * @param work the work
	 * @return true if it waited here
	 */
	public boolean remove(String organisation, T work) {
		Lane<T> lane = this.lanes.get(organisation);
		boolean removed = lane != null && lane.waiting.removeIf((waiting) -> waiting.work().equals(work));
		if (removed) {
			this.size--;
		}
		return removed;
	}

	/**
	 * Counts what waits of one organisation.
	 * @param organisation the organisation's name
	 * @return a number of pieces of work
	 */
	public int waiting(String organisation) {
		Lane<T> lane = this.lanes.get(organisation);
		return (lane != null) ? lane.waiting.size() : 0;
	}

	/**
	 * Counts what waits.
	 * @return a number of pieces of work
	 */
	public int size() {
		return this.size;
	}

	private T serve(Lane<T> lane) {
		Waiting<T> next = lane.waiting.removeFirst();
		lane.deficit -= next.cost();
		this.size--;
		if (lane.waiting.isEmpty()) {
			retire(lane);
		}
		return next.work();
	}

	private void retire(Lane<T> lane) {
		lane.active = false;
		this.active.remove(lane);
		this.lanes.remove(lane.organisation);
	}

	private record Waiting<T>(T work, double cost, long deadlineMillis) {
	}

	private static final class Lane<T> {

		private final String organisation;

		private final Deque<Waiting<T>> waiting = new ArrayDeque<>();

		private double deficit;

		private boolean active;

		private boolean granted;

		private Lane(String organisation) {
			this.organisation = organisation;
		}

	}

}
