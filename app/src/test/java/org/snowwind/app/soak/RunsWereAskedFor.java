package org.snowwind.app.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.snowwind.platform.standin.Run;

/**
 * What a server runs is what a caller sent, at a service to which a configuration sent
 * it, in the name of the caller's organisation and without its key.
 */
final class RunsWereAskedFor implements SoakRule {

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, Call> calls = history.callsById();
		List<String> lines = new ArrayList<>();
		for (Run run : history.runs()) {
			Call call = calls.get(run.requestId());
			if (call == null || !sameAs(call, run)) {
				lines.add("server " + run.serverId() + " ran " + run);
			}
			else if (!history.services().get(call.kind()).contains(run.service())) {
				lines.add(call.describe() + " ran at service " + run.service());
			}
		}
		return lines;
	}

	private static boolean sameAs(Call call, Run run) {
		return run.method().equals(call.kind().method()) && run.target().equals(call.kind().target(call.work()))
				&& run.body().equals(call.body()) && SoakOrganisations.nameOf(call.key()) != null
				&& SoakOrganisations.nameOf(call.key()).equals(run.organisation()) && !run.keyPassedOn();
	}

}
