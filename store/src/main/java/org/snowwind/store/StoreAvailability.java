package org.snowwind.store;

/**
 * Determines from answered and failed calls whether the store is unavailable, and tells a
 * listener. Confined to one thread, except for {@link #isAway()}.
 */
final class StoreAvailability {

	private final Freshness freshness;

	private final ConfirmationSchedule schedule;

	private final StoreListener listener;

	private volatile boolean away;

	/** Whether the copy has been unconfirmed for too long since it was last confirmed. */
	private boolean overdue;

	/** When the latest of the answered calls was sent. */
	private long answeredSentMillis = Long.MIN_VALUE;

	/**
	 * Creates the state of a store that has not been called.
	 * @param freshness the freshness of the copy
	 * @param schedule defines how long a copy may be unconfirmed
	 * @param listener notified of changes
	 */
	StoreAvailability(Freshness freshness, ConfirmationSchedule schedule, StoreListener listener) {
		this.freshness = freshness;
		this.schedule = schedule;
		this.listener = listener;
	}

	/**
	 * Returns whether the store does not answer.
	 * @return true if the last inquiry failed
	 */
	boolean isAway() {
		return this.away;
	}

	/**
	 * Checks whether a peer has confirmed the copy before the store answered this
	 * process.
	 */
	void check() {
		boolean nowOverdue = this.schedule.isOverdue(this.freshness.unconfirmedMillis());
		if (this.overdue && !nowOverdue) {
			this.listener.recovered();
		}
		this.overdue = nowOverdue;
	}

	/**
	 * Records the response to a call, before its content is processed.
	 * @param call the call
	 */
	void answered(OpenCalls.Call call) {
		this.answeredSentMillis = Math.max(this.answeredSentMillis, call.sentMillis());
		boolean returns = this.away && !call.waits();
		if (returns) {
			this.away = false;
			this.listener.back();
		}
		else if (this.overdue) {
			this.listener.recovered();
		}
		this.overdue = false;
	}

	/**
	 * Returns whether the store has answered a call that was sent later.
	 * @param call the call
	 * @return true if it has
	 */
	boolean isAnsweredSince(OpenCalls.Call call) {
		return call.sentMillis() < this.answeredSentMillis;
	}

	/**
	 * Records that an inquiry failed. It is irrelevant once the store has answered a
	 * later one, also of a peer.
	 * @param call the inquiry
	 * @param reason the reason, one line
	 */
	void failed(OpenCalls.Call call, String reason) {
		boolean relevant = !isAnsweredSince(call) && !this.freshness.isConfirmedAsOf(call.sentMillis());
		if (relevant && !this.away) {
			this.away = true;
			this.listener.away(reason);
		}
	}

}
