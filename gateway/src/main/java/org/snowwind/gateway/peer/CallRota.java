package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.snowwind.decide.choice.Rendezvous;

/**
 * Spreads calls to all peers over a period, so that news which peers pass on reach all of
 * them within a part of it. Confined to one thread.
 */
final class CallRota {

	private static final double LEAST_FIRST_PERIOD = 0.5;

	private static final long PARTS = 1000;

	private final String ownAddress;

	private final Map<String, Turn> turns = new HashMap<>();

	/**
	 * Creates a rota without turns.
	 * @param ownAddress the own address: gateways that start together call a peer at
	 * different times
	 */
	CallRota(String ownAddress) {
		this.ownAddress = ownAddress;
	}

	/**
	 * Returns whose turn it is.
	 * @param addresses the addresses of all peers
	 * @param nowMillis the time, in milliseconds
	 * @param periodMillis the time in which each has one turn, in milliseconds
	 * @return the addresses of those that are called now
	 */
	List<String> due(List<String> addresses, long nowMillis, long periodMillis) {
		this.turns.keySet().retainAll(addresses);
		List<String> due = new ArrayList<>();
		for (String address : addresses) {
			Turn turn = this.turns.get(address);
			if (turn == null || nowMillis >= turn.nextMillis()) {
				due.add(address);
				this.turns.put(address, next(address, turn, nowMillis, periodMillis));
			}
		}
		return due;
	}

	// Peers that were heard of together do not stay together.
	private Turn next(String address, Turn turn, long nowMillis, long periodMillis) {
		if (turn == null) {
			double part = (double) Math.floorMod(Rendezvous.hash(this.ownAddress + ' ' + address), PARTS) / PARTS;
			return new Turn(nowMillis + Math.round(periodMillis * (LEAST_FIRST_PERIOD + part)), 1);
		}
		boolean onTime = nowMillis - turn.nextMillis() < periodMillis;
		return new Turn((onTime ? turn.nextMillis() : nowMillis) + periodMillis, turn.number() + 1);
	}

	/**
	 * Counts the turns of a peer.
	 * @param address the peer's address
	 * @return a number of turns, 0 for an unknown peer
	 */
	long turns(String address) {
		Turn turn = this.turns.get(address);
		return (turn != null) ? turn.number() : 0;
	}

	/**
	 * Lets a peer whose turn could not be used have another one at once.
	 * @param address the peer's address
	 * @param nowMillis the time, in milliseconds
	 */
	void again(String address, long nowMillis) {
		this.turns.computeIfPresent(address, (key, turn) -> new Turn(nowMillis, turn.number()));
	}

	/**
	 * The turns of one peer.
	 *
	 * @param nextMillis when the next one is, in milliseconds
	 * @param number how many there were
	 */
	private record Turn(long nextMillis, long number) {

	}

}
