package org.snowwind.decide.silence;

/**
 * States of silent requests for tests, which differ from a replaceable one in one value.
 */
final class SilentRequests {

	static final SilentRequest REPLACEABLE = new SilentRequest(false, true, true, 100, 1, 2, 1000, true, true);

	private SilentRequests() {
	}

	static SilentRequest beside(boolean otherAttemptHeard) {
		return new SilentRequest(otherAttemptHeard, true, true, 100, 1, 2, 1000, true, true);
	}

	static SilentRequest repeatable(boolean repeatable) {
		return new SilentRequest(false, repeatable, true, 0, 1, 2, 1000, true, true);
	}

	static SilentRequest delivered(long bytes, boolean resumable) {
		return new SilentRequest(false, true, resumable, bytes, 1, 2, 1000, true, true);
	}

	static SilentRequest left(int attempts, long remainingMillis, boolean send, boolean retryBudget) {
		return new SilentRequest(false, true, true, 100, 2 - attempts, 2, remainingMillis, send, retryBudget);
	}

}
