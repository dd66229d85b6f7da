package org.snowwind.gateway.peer;

import java.util.EnumMap;
import java.util.Map;

import org.snowwind.wire.generated.GatewayDocument;

/**
 * Decides when a document is fetched from a peer. That is the case if the platform has
 * not delivered the revision that the peer has within a grace period, and no other fetch
 * of the document is in flight. There is no grace period if this gateway has no document
 * or the platform is unavailable. Confined to one thread.
 */
final class DocumentFetches {

	/**
	 * The time for which a revision that a peer reported but did not deliver is not
	 * fetched again, in milliseconds.
	 */
	private static final long UNDELIVERED_BACKOFF_MILLIS = 30_000;

	private final long graceMillis;

	private final long callTimeoutMillis;

	private final Map<GatewayDocument, FetchState> states = new EnumMap<>(GatewayDocument.class);

	/**
	 * Creates fetches of which none is in flight.
	 * @param graceMillis the time that the platform has to deliver a newer document, in
	 * milliseconds
	 * @param callTimeoutMillis the timeout of a fetch, in milliseconds
	 */
	DocumentFetches(long graceMillis, long callTimeoutMillis) {
		this.graceMillis = graceMillis;
		this.callTimeoutMillis = callTimeoutMillis;
	}

	/**
	 * Returns whether to fetch a document from a peer, and if so records the fetch as in
	 * flight.
	 * @param kind which document
	 * @param peerRevision the revision that the peer has
	 * @param ownRevision the own revision, 0 for no document
	 * @param storeUnavailable whether the platform is unavailable; there is no grace
	 * period then
	 * @param nowMillis the current time, in milliseconds
	 * @return true if the caller must fetch it
	 */
	boolean tryBegin(GatewayDocument kind, long peerRevision, long ownRevision, boolean storeUnavailable,
			long nowMillis) {
		FetchState state = this.states.computeIfAbsent(kind, (key) -> new FetchState());
		boolean backingOff = peerRevision == state.undeliveredRevision && nowMillis < state.backoffUntilMillis;
		if (peerRevision <= ownRevision || backingOff) {
			return false;
		}
		if (state.newestPeerRevision <= ownRevision) {
			state.behindSinceMillis = nowMillis;
		}
		state.newestPeerRevision = Math.max(state.newestPeerRevision, peerRevision);
		boolean graceElapsed = ownRevision == 0 || storeUnavailable
				|| nowMillis - state.behindSinceMillis >= this.graceMillis;
		if (!graceElapsed || nowMillis < state.inFlightUntilMillis) {
			return false;
		}
		state.inFlightUntilMillis = nowMillis + this.callTimeoutMillis;
		return true;
	}

	/**
	 * Records that a fetch failed without an answer.
	 * @param kind which document
	 */
	void failed(GatewayDocument kind) {
		this.states.get(kind).inFlightUntilMillis = Long.MIN_VALUE;
	}

	/**
	 * Records that a peer has answered a fetch. If it did not deliver the revision that
	 * it had reported, that revision is not fetched again for a while.
	 * @param kind which document
	 * @param peerRevision the revision that the peer had reported
	 * @param ownRevision the own revision after the answer was applied
	 * @param nowMillis the current time, in milliseconds
	 */
	void completed(GatewayDocument kind, long peerRevision, long ownRevision, long nowMillis) {
		FetchState state = this.states.get(kind);
		state.inFlightUntilMillis = Long.MIN_VALUE;
		state.newestPeerRevision = ownRevision;
		if (ownRevision < peerRevision) {
			state.undeliveredRevision = peerRevision;
			state.backoffUntilMillis = nowMillis + UNDELIVERED_BACKOFF_MILLIS;
		}
	}

	/**
	 * The state of one document: what peers have, and the fetches of it.
	 */
	private static final class FetchState {

		private long newestPeerRevision;

		private long behindSinceMillis;

		private long inFlightUntilMillis = Long.MIN_VALUE;

		private long undeliveredRevision;

		private long backoffUntilMillis = Long.MIN_VALUE;

	}

}
