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
 * Each organisation has a bounded queue. In each round it may spend a cost of one quantum
 * times its weight. Therefore an organisation is at most one quantum and one request
 * ahead of its share, whatever the others send.
 *
 * @param <T> the type of the queued work
 */
public final class FairQueue<T> {

	private final double quantumCost;

	private final int maxWaitingPerOrganisation;

	private final ToDoubleFunction<String> weights;

	private final Map<String, Backlog<T>> backlogs = new HashMap<>();

	private final Deque<Backlog<T>> active = new ArrayDeque<>();

	private int size;

	/**
	 * Creates an empty queue.
	 * @param quantumCost the cost that an organisation of weight 1 may spend in a round
	 * @param maxWaitingPerOrganisation the capacity of each organisation's queue
	 * @param weights the weight of an organisation by its name
	 */
	public FairQueue(double quantumCost, int maxWaitingPerOrganisation, ToDoubleFunction<String> weights) {
		this.quantumCost = quantumCost;
		this.maxWaitingPerOrganisation = maxWaitingPerOrganisation;
		this.weights = weights;
	}

	/**
	 * Adds work to the queue of its organisation.
	 * @param organisation the organisation's name
	 * @param work the work
	 * @param cost its cost
	 * @param deadlineMillis when it expires, in milliseconds
	 * @return false if the organisation's queue is full
	 */
	public boolean offer(String organisation, T work, double cost, long deadlineMillis) {
		Backlog<T> backlog = this.backlogs.computeIfAbsent(organisation, Backlog::new);
		if (backlog.waiting.size() >= this.maxWaitingPerOrganisation) {
			return false;
		}
		backlog.waiting.add(new Item<>(work, cost, deadlineMillis));
		this.size++;
		if (!backlog.active) {
			backlog.active = true;
			backlog.deficit = 0;
			backlog.quantumGranted = false;
			this.active.addLast(backlog);
		}
		return true;
	}

	/**
	 * Removes and returns the next work.
	 * @return the work, or empty if the queue is empty
	 */
	public Optional<T> poll() {
		return poll((organisation) -> true);
	}

	/**
	 * Removes and returns the next work of an organisation that may begin work now.
	 * @param mayBegin whether an organisation, by its name, may begin work
	 * @return the work, or empty if no queued work may begin
	 */
	public Optional<T> poll(Predicate<String> mayBegin) {
		int blockedInARow = 0;
		while (blockedInARow < this.active.size()) {
			Backlog<T> backlog = this.active.peekFirst();
			if (backlog.waiting.isEmpty()) {
				deactivate(backlog);
				continue;
			}
			if (!mayBegin.test(backlog.organisation)) {
				blockedInARow++;
				rotate(backlog);
				continue;
			}
			blockedInARow = 0;
			if (!backlog.quantumGranted) {
				backlog.quantumGranted = true;
				backlog.deficit += this.quantumCost * this.weights.applyAsDouble(backlog.organisation);
			}
			if (backlog.waiting.peekFirst().cost() <= backlog.deficit) {
				return Optional.of(serve(backlog));
			}
			rotate(backlog);
		}
		return Optional.empty();
	}

	private void rotate(Backlog<T> backlog) {
		backlog.quantumGranted = false;
		this.active.addLast(this.active.removeFirst());
	}

	/**
	 * Removes all work whose deadline has passed.
	 * @param nowMillis the time, in milliseconds
	 * @return the removed work
	 */
	public List<T> expire(long nowMillis) {
		List<T> expired = new ArrayList<>();
		for (Backlog<T> backlog : this.active) {
			Iterator<Item<T>> waiting = backlog.waiting.iterator();
			while (waiting.hasNext()) {
				Item<T> next = waiting.next();
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
	 * Removes queued work.
	 * @param organisation the organisation's name
	 * @param work the work
	 * @return true if it was queued
	 */
	public boolean remove(String organisation, T work) {
		Backlog<T> backlog = this.backlogs.get(organisation);
		boolean removed = backlog != null && backlog.waiting.removeIf((waiting) -> waiting.work().equals(work));
		if (removed) {
			this.size--;
		}
		return removed;
	}

	/**
	 * Returns how much work of an organisation is queued.
	 * @param organisation the organisation's name
	 * @return the number of items
	 */
	public int waiting(String organisation) {
		Backlog<T> backlog = this.backlogs.get(organisation);
		return (backlog != null) ? backlog.waiting.size() : 0;
	}

	/**
	 * Returns how much work is queued.
	 * @return the number of items
	 */
	public int size() {
		return this.size;
	}

	private T serve(Backlog<T> backlog) {
		Item<T> next = backlog.waiting.removeFirst();
		backlog.deficit -= next.cost();
		this.size--;
		if (backlog.waiting.isEmpty()) {
			deactivate(backlog);
		}
		return next.work();
	}

	private void deactivate(Backlog<T> backlog) {
		backlog.active = false;
		this.active.remove(backlog);
		this.backlogs.remove(backlog.organisation);
	}

	private record Item<T>(T work, double cost, long deadlineMillis) {
	}

	private static final class Backlog<T> {

		private final String organisation;

		private final Deque<Item<T>> waiting = new ArrayDeque<>();

		private double deficit;

		private boolean active;

		private boolean quantumGranted;

		private Backlog(String organisation) {
			this.organisation = organisation;
		}

	}

}
