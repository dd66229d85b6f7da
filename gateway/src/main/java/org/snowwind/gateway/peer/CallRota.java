package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.List;

/**
 * Spreads calls to all peers evenly over a period, so that news which peers pass on reach
 * all of them within a part of it. Confined to one thread.
 */
final class CallRota {

	private long lastMillis = Long.MIN_VALUE;

	private double credit;

	private int next;

	private long cycles;

	/**
	 * Returns whose turn it is.
	 * @param addresses the addresses of all peers
	 * @param nowMillis the time, in milliseconds
	 * @param periodMillis the time in which each has one turn, in milliseconds
	 * @return the addresses of those that are called now
	 */
	List<String> due(List<String> addresses, long nowMillis, long periodMillis) {
		long elapsedMillis = (this.lastMillis == Long.MIN_VALUE) ? periodMillis : nowMillis - this.lastMillis;
		this.lastMillis = nowMillis;
		this.credit = Math.min(addresses.size(),
				this.credit + (double) addresses.size() * elapsedMillis / periodMillis);
		List<String> due = new ArrayList<>();
		while (this.credit >= 1) {
			if (this.next >= addresses.size()) {
				this.next = 0;
				this.cycles++;
			}
			due.add(addresses.get(this.next++));
			this.credit--;
		}
		return due;
	}

	/**
	 * Counts how often all peers have had their turn.
	 * @return a number of whole cycles
	 */
	long cycles() {
		return this.cycles;
	}

}
