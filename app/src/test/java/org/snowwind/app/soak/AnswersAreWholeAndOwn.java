package org.snowwind.app.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.snowwind.platform.standin.Answers;
import org.snowwind.platform.standin.Run;

/**
 * A success is the whole answer of a server that ran this very request; what ends early
 * does not look whole.
 */
final class AnswersAreWholeAndOwn implements SoakRule {

	private static final int OK = 200;

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, List<Run>> runs = history.runsByRequest();
		List<String> lines = new ArrayList<>();
		for (Call call : history.calls()) {
			String expected = expected(call);
			if (call.served() && !call.answer().equals(expected)) {
				lines.add(call.describe() + " ended as whole with another body");
			}
			if (call.status() == OK && !expected.startsWith(call.answer())) {
				lines.add(call.describe() + " got bytes that are not its answer's");
			}
			if (call.status() == OK && !signed(call, runs.getOrDefault(call.id(), List.of()))) {
				lines.add(call.describe() + " has no signature of a server that ran it");
			}
		}
		return lines;
	}

	private static String expected(Call call) {
		return call.kind().stream() ? Answers.streamAfter(call.id(), call.after()) : Answers.plain(call.id());
	}

	private static boolean signed(Call call, List<Run> runs) {
		return runs.stream().anyMatch((run) -> Answers.signature(run.serverId(), call.id()).equals(call.signature()));
	}

}
