package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.snowwind.decide.choice.RendezvousHashing;

/**
 * Spreads the calls to all peers over a period, so that information that peers relay
 * reaches all of them within a fraction of the period. Confined to one thread.
 */
final class CallSchedule {

	private static final double MIN_FIRST_DELAY_PERIODS = 0.5;

	private static final long HASH_BUCKETS = 1000;

	private final String ownAddress;

	private final Map<String, PeerCalls> callsByAddress = new HashMap<>();

	/**
	 * Creates a schedule without peers.
	 * @param ownAddress the address of this gateway; it determines the offsets of the
	 * calls, so that gateways that start together call a peer at different times
	 */
	CallSchedule(String ownAddress) {
		this.ownAddress = ownAddress;
	}

	/**
	 * Returns the peers to call now, and schedules their next calls.
	 * @param addresses the addresses of all peers
	 * @param nowMillis the current time, in milliseconds
	 * @param periodMillis the period in which each peer is called once, in milliseconds
	 * @return the addresses of the peers to call now
	 */
	List<String> due(List<String> addresses, long nowMillis, long periodMillis) {
		this.callsByAddress.keySet().retainAll(addresses);
		List<String> due = new ArrayList<>();
		for (String address : addresses) {
			PeerCalls calls = this.callsByAddress.get(address);
			if (calls == null || nowMillis >= calls.nextMillis()) {
				due.add(address);
				this.callsByAddress.put(address, next(address, calls, nowMillis, periodMillis));
			}
		}
		return due;
	}

	// The delay after the first call depends on the addresses, so that the calls to peers
	// that were discovered together spread over the period.
	private PeerCalls next(String address, PeerCalls calls, long nowMillis, long periodMillis) {
		if (calls == null) {
			double fraction = (double) Math.floorMod(RendezvousHashing.hash(this.ownAddress + ' ' + address),
					HASH_BUCKETS) / HASH_BUCKETS;
			return new PeerCalls(nowMillis + Math.round(periodMillis * (MIN_FIRST_DELAY_PERIODS + fraction)), 1);
		}
		boolean onTime = nowMillis - calls.nextMillis() < periodMillis;
		return new PeerCalls((onTime ? calls.nextMillis() : nowMillis) + periodMillis, calls.count() + 1);
	}

	/**
	 * Returns how often a peer was due for a call, including calls that could not be
	 * sent.
	 * @param address the peer's address
	 * @return the number of due calls, 0 for an unknown peer
	 */
	long callCount(String address) {
		PeerCalls calls = this.callsByAddress.get(address);
		return (calls != null) ? calls.count() : 0;
	}

	/**
	 * Makes a peer due immediately because the call to it could not be sent.
	 * @param address the peer's address
	 * @param nowMillis the current time, in milliseconds
	 */
	void retryNow(String address, long nowMillis) {
		this.callsByAddress.computeIfPresent(address, (key, calls) -> new PeerCalls(nowMillis, calls.count()));
	}

	/**
	 * The calls to one peer.
	 *
	 * @param nextMillis when the next call is due, in milliseconds
	 * @param count the number of due calls so far
	 */
	private record PeerCalls(long nextMillis, long count) {

	}

}
