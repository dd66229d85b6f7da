package org.snowwind.app.soak;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.snowwind.platform.standin.Run;

/**
 * A request that may run once and was refused as not run has not run.
 */
final class RefusalsAreTrue implements SoakRule {

	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, List<Run>> runs = history.runsByRequest();
		return history.calls()
			.stream()
			.filter((call) -> call.kind() == CallKind.ONCE && PROMISES.contains(call.status())
					&& runs.containsKey(call.id()))
			.map((call) -> call.describe() + " was refused and ran")
			.toList();
	}

}
