package org.snowwind.app.soak;

import java.util.List;
import java.util.Map;

import org.snowwind.platform.standin.Run;

/**
 * A request that may run once runs once at most.
 */
final class RunsOnceAtMost implements SoakRule {

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, List<Run>> runs = history.runsByRequest();
		return history.calls()
			.stream()
			.filter((call) -> call.kind() == CallKind.ONCE && runs.getOrDefault(call.id(), List.of()).size() > 1)
			.map((call) -> call.describe() + " ran " + runs.get(call.id()).size() + " times")
			.toList();
	}

}
