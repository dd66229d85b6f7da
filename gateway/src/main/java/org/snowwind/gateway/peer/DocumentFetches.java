package org.snowwind.gateway.peer;

import java.util.EnumMap;
import java.util.Map;

import org.snowwind.wire.generated.GatewayDocument;

/**
 * Decides when a document is fetched from a peer: when the platform has not brought by
 * itself what a peer has, and no other peer is being asked for it. Confined to one
 * thread.
 */
final class DocumentFetches {

	/** So long a revision is not fetched that its peer did not give, in milliseconds. */
	private static final long DENIED_MILLIS = 30_000;

	private final long graceMillis;

	private final long callMillis;

	private final Map<GatewayDocument, Behind> behind = new EnumMap<>(GatewayDocument.class);

	/**
	 * Creates fetches of which none is under way.
	 * @param graceMillis how long the platform has to bring a newer document, in
	 * milliseconds
	 * @param callMillis how long a fetch may take, in milliseconds
	 */
	DocumentFetches(long graceMillis, long callMillis) {
		this.graceMillis = graceMillis;
		this.callMillis = callMillis;
	}

	/**
	 * Tells whether a document is to be fetched from a peer, and takes it that it is.
	 * @param kind which document
	 * @param theirs the revision that the peer has
	 * @param own the own revision, 0 for no document
	 * @param storeAway whether the platform does not answer, and has no grace
	 * @param nowMillis the time, in milliseconds
	 * @return true if it is to be fetched
	 */
	boolean begin(GatewayDocument kind, long theirs, long own, boolean storeAway, long nowMillis) {
		Behind state = this.behind.computeIfAbsent(kind, (key) -> new Behind());
		boolean denied = theirs == state.deniedRevision && nowMillis < state.deniedUntilMillis;
		if (theirs <= own || denied) {
			return false;
		}
		if (state.newest <= own) {
			state.sinceMillis = nowMillis;
		}
		state.newest = Math.max(state.newest, theirs);
		boolean waited = own == 0 || storeAway || nowMillis - state.sinceMillis >= this.graceMillis;
		if (!waited || nowMillis < state.busyUntilMillis) {
			return false;
		}
		state.busyUntilMillis = nowMillis + this.callMillis;
		return true;
	}

	/**
	 * Records that a peer did not answer.
	 * @param kind which document
	 */
	void failed(GatewayDocument kind) {
		this.behind.get(kind).busyUntilMillis = Long.MIN_VALUE;
	}

	/**
	 * Records that a peer has answered. A revision that it did not give is not asked for
	 * again for a while.
	 * @param kind which document
	 * @param theirs the revision that the peer had
	 * @param own the own revision since
	 * @param nowMillis the time, in milliseconds
	 */
	void ended(GatewayDocument kind, long theirs, long own, long nowMillis) {
		Behind state = this.behind.get(kind);
		state.busyUntilMillis = Long.MIN_VALUE;
		state.newest = own;
		if (own < theirs) {
			state.deniedRevision = theirs;
			state.deniedUntilMillis = nowMillis + DENIED_MILLIS;
		}
	}

	/**
	 * What is known of one document.
	 */
	private static final class Behind {

		private long newest;

		private long sinceMillis;

		private long busyUntilMillis = Long.MIN_VALUE;

		private long deniedRevision;

		private long deniedUntilMillis = Long.MIN_VALUE;

	}

}
