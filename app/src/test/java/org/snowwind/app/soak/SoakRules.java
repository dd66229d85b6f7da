package org.snowwind.app.soak;

import java.util.List;

/**
 * All promises that a soak checks.
 */
final class SoakRules {

	private static final List<SoakRule> ALL = List.of(new AnswersAreWholeAndOwn(), new RunsOnceAtMost(),
			new CrashingPartsAreKeptBack(), new RefusalsAreTrue(), new RunsWereAskedFor(), new AnswersComeInTime(),
			new LeavingServersGetNothing(), new StopsCutNothingOff(), new FatalRequestsAreKeptBack(),
			new LimitsAreKept(), new RetryAfterIsKept(), new AnnouncedLeavingIsKept(), new ConfigurationsComeInForce(),
			new SeenLeavingIsKept(), new SilencesCutNothingOff(),
			new EvacuatedServersGetNothing(EvacuatedServersGetNothing.SOAK_MILLIS));

	private SoakRules() {
	}

	static List<String> broken(SoakHistory history) {
		return ALL.stream()
			.flatMap((
					rule) -> rule.broken(history).stream().map((line) -> rule.getClass().getSimpleName() + ": " + line))
			.toList();
	}

}
