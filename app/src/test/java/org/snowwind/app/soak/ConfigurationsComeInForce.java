package org.snowwind.app.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.snowwind.platform.standin.Run;

/**
 * A request is not handled by a configuration that should have been replaced by then,
 * unless its gateway or the store was disturbed shortly before.
 */
final class ConfigurationsComeInForce implements SoakRule {

	/** The default of {@code in_force_millis}, and as much again for a busy machine. */
	static final long IN_FORCE_MILLIS = 4000;

	/** The default of {@code stable_millis}. */
	private static final long STABLE_MILLIS = 3000;

	private static final int UNAUTHORIZED = 401;

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, List<Run>> runs = history.runsByRequest();
		return history.calls()
			.stream()
			.filter((call) -> !excused(history, call))
			.filter((call) -> outdated(call, runs.getOrDefault(call.id(), List.of()), current(history, call)))
			.map((call) -> call.describe() + " with " + call.key() + " was handled as none of "
					+ current(history, call).stream().map(WrittenConfiguration::version).toList() + " allows")
			.toList();
	}

	private static boolean excused(SoakHistory history, Call call) {
		long fromNanos = call.sentNanos() - TimeUnit.MILLISECONDS.toNanos(STABLE_MILLIS);
		return history.disturbed(call.gateway(), fromNanos, call.endedNanos())
				|| history.disturbed(Disturbance.STORE, fromNanos, call.endedNanos());
	}

	/** Returns the configurations that may be in force while a request is handled. */
	private static List<WrittenConfiguration> current(SoakHistory history, Call call) {
		long inForceNanos = call.sentNanos() - TimeUnit.MILLISECONDS.toNanos(IN_FORCE_MILLIS);
		List<WrittenConfiguration> all = history.configurations();
		long replaced = all.stream().skip(1).filter((next) -> next.writtenNanos() < inForceNanos).count();
		return all.stream().skip(replaced).filter((one) -> one.writtenNanos() <= call.endedNanos()).toList();
	}

	private static boolean outdated(Call call, List<Run> runs, List<WrittenConfiguration> current) {
		if (current.isEmpty()) {
			return false;
		}
		boolean refused = call.status() == UNAUTHORIZED;
		boolean wronglyRefused = refused && current.stream().allMatch((one) -> one.allowsKey(call.key()));
		boolean wronglyRun = !runs.isEmpty() && current.stream().noneMatch((one) -> one.allowsKey(call.key()));
		return wronglyRefused || wronglyRun || (call.kind() == CallKind.MOVING && ranElsewhere(runs, current));
	}

	private static boolean ranElsewhere(List<Run> runs, List<WrittenConfiguration> current) {
		var services = current.stream().map(WrittenConfiguration::movingTo).collect(Collectors.toSet());
		return runs.stream().anyMatch((run) -> !services.contains(run.service()));
	}

}
