package org.snowwind.app.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A gateway that is not paused ends each request within its route's time.
 */
final class AnswersComeInTime implements SoakRule {

	/**
	 * Beyond the route's time; generous, since the soak shares its machine with others.
	 */
	private static final long SLACK_MILLIS = 2500;

	@Override
	public List<String> broken(SoakHistory history) {
		return history.calls()
			.stream()
			.filter((call) -> call.endedNanos() - call.sentNanos() > mostNanos(call)
					&& !history.disturbed(call.gateway(), call.sentNanos(), call.endedNanos()))
			.map((call) -> call.describe() + " ended too late")
			.toList();
	}

	private static long mostNanos(Call call) {
		return TimeUnit.MILLISECONDS.toNanos(call.kind().timeoutMillis() + SLACK_MILLIS);
	}

}
