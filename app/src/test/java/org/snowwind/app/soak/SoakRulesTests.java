package org.snowwind.app.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.snowwind.platform.standin.Answers;
import org.snowwind.platform.standin.BackoffRequest;
import org.snowwind.platform.standin.Departure;
import org.snowwind.platform.standin.LimitChange;
import org.snowwind.platform.standin.Run;
import org.snowwind.platform.standin.ServerArrival;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the rules of a soak: each finds a history that breaks it, and only that.
 */
class SoakRulesTests {

	private static final String SERVER = "desk-run-1";

	private static final long START = TimeUnit.SECONDS.toNanos(100);

	private final List<Call> calls = new ArrayList<>();

	private final List<Run> runs = new ArrayList<>();

	private final List<Disturbance> disturbances = new ArrayList<>();

	private final List<ServerArrival> arrivals = new ArrayList<>();

	private final List<LimitChange> limits = new ArrayList<>();

	private final List<BackoffRequest> backoffs = new ArrayList<>();

	private final List<Departure> departures = new ArrayList<>();

	private final List<WrittenConfiguration> configurations = new ArrayList<>();

	private final List<WrittenEvacuation> evacuations = new ArrayList<>();

	private final Map<String, Long> crashingPartUntil = new HashMap<>();

	private Map<String, Long> drains = Map.of();

	private List<String> broken() {
		return SoakRules.broken(new SoakHistory(this.calls, this.runs, this.disturbances, this.drains,
				Map.of(CallKind.ONCE, Set.of("desk"), CallKind.AGAIN, Set.of("desk"), CallKind.STREAM, Set.of("desk"),
						CallKind.LONG, Set.of("desk"), CallKind.FATAL, Set.of("desk"), CallKind.MOVING, Set.of("desk")),
				this.arrivals, this.limits, this.backoffs, this.departures, this.configurations, this.evacuations,
				Map.copyOf(this.crashingPartUntil)));
	}

	private void call(CallKind kind, int status, String answer, boolean whole, long tookMillis) {
		this.calls.add(new Call("c1", "c1", kind, "b", SoakWorld.KEY, 0, "g0", START,
				START + TimeUnit.MILLISECONDS.toNanos(tookMillis), status,
				(status == 200) ? Answers.signature(SERVER, "c1") : null, answer, whole));
	}

	private void run(CallKind kind, String service, String organisation, boolean keyPassedOn, long afterMillis) {
		this.runs.add(new Run("c1", service, SERVER, kind.method(), kind.target("c1"), "b", organisation, keyPassedOn,
				List.of(), START + TimeUnit.MILLISECONDS.toNanos(afterMillis)));
	}

	private void ran(CallKind kind) {
		run(kind, "desk", SoakWorld.ORGANISATION, false, 10);
	}

	private void disturbed(String what, String where) {
		this.disturbances.add(new Disturbance(what, where, START, START + 1));
	}

	private void stopBegan() {
		this.disturbances.add(new Disturbance(SoakFaults.STOP, "g0", START, START + TimeUnit.SECONDS.toNanos(15)));
	}

	@Test
	void aWholeOwnAnswerKeepsAllRules() {
		call(CallKind.ONCE, 200, Answers.plain("c1"), true, 50);
		ran(CallKind.ONCE);
		assertThat(broken()).isEmpty();
	}

	@Test
	void aBrokenStreamThatLooksBrokenKeepsAllRules() {
		call(CallKind.STREAM, 200, Answers.event("c1", 1), false, 50);
		ran(CallKind.STREAM);
		assertThat(broken()).isEmpty();
	}

	@Test
	void aStreamThatEndsEarlyMustNotLookWhole() {
		call(CallKind.STREAM, 200, Answers.event("c1", 1), true, 50);
		ran(CallKind.STREAM);
		assertThat(broken()).singleElement().asString().startsWith("AnswersAreWholeAndOwn");
	}

	@Test
	void anEventMustNotComeTwice() {
		call(CallKind.STREAM, 200, Answers.event("c1", 1) + Answers.event("c1", 1), false, 50);
		ran(CallKind.STREAM);
		assertThat(broken()).singleElement().asString().startsWith("AnswersAreWholeAndOwn");
	}

	@Test
	void anAnswerOfAServerThatDidNotRunItIsFound() {
		call(CallKind.AGAIN, 200, Answers.plain("c1"), true, 50);
		assertThat(broken()).singleElement().asString().startsWith("AnswersAreWholeAndOwn");
	}

	@Test
	void aSecondRunIsFoundWhereOnlyOneIsAllowed() {
		call(CallKind.ONCE, 502, "", true, 50);
		ran(CallKind.ONCE);
		ran(CallKind.ONCE);
		assertThat(broken()).singleElement().asString().startsWith("RunsOnceAtMost");
	}

	@Test
	void aRefusedRequestThatRanIsFound() {
		call(CallKind.ONCE, 503, "", true, 50);
		ran(CallKind.ONCE);
		assertThat(broken()).singleElement().asString().startsWith("RefusalsAreTrue");
	}

	@Test
	void aRunInAnotherNameOrWithTheKeyOrAtAnotherServiceIsFound() {
		call(CallKind.AGAIN, 502, "", true, 50);
		run(CallKind.AGAIN, "desk", "somebody", false, 10);
		run(CallKind.AGAIN, "desk", SoakWorld.ORGANISATION, true, 10);
		run(CallKind.AGAIN, "model", SoakWorld.ORGANISATION, false, 10);
		assertThat(broken()).hasSize(3).allMatch((line) -> line.startsWith("RunsWereAskedFor"));
	}

	@Test
	void aLateEndIsFoundUnlessTheGatewayWasDisturbed() {
		call(CallKind.AGAIN, 504, "", true, 9000);
		assertThat(broken()).singleElement().asString().startsWith("AnswersComeInTime");
		disturbed("pause", "g0");
		assertThat(broken()).isEmpty();
	}

	@Test
	void workForALeavingServerIsFoundUnlessTheStoreWasDisturbed() {
		call(CallKind.AGAIN, 200, Answers.plain("c1"), true, 50);
		ran(CallKind.AGAIN);
		// Sent a moment too early for the rule on what a gateway has seen.
		this.drains = Map.of(SERVER, START - TimeUnit.MILLISECONDS.toNanos(3995));
		assertThat(broken()).singleElement().asString().startsWith("LeavingServersGetNothing");
		disturbed("store", Disturbance.STORE);
		assertThat(broken()).isEmpty();
	}

	@Test
	void workForAServerThatWasSeenLeavingIsFoundThoughTheStoreIsDisturbedLater() {
		call(CallKind.AGAIN, 200, Answers.plain("c1"), true, 50);
		ran(CallKind.AGAIN);
		this.drains = Map.of(SERVER, START - TimeUnit.SECONDS.toNanos(5));
		disturbed("store", Disturbance.STORE);
		assertThat(broken()).singleElement().asString().startsWith("SeenLeavingIsKept");
		disturbed("pause", "g0");
		assertThat(broken()).isEmpty();
	}

	@Test
	void aRequestThatAStopCutOffIsFoundUnlessSomethingElseWasWrong() {
		call(CallKind.ONCE, 0, "", false, 50);
		ran(CallKind.ONCE);
		assertThat(broken()).as("nothing was stopped").isEmpty();
		disturbed(SoakFaults.STOP, "g0");
		assertThat(broken()).singleElement().asString().startsWith("StopsCutNothingOff");
		disturbed("server-link", Disturbance.SERVERS);
		assertThat(broken()).isEmpty();
	}

	@Test
	void aLongAnswerThatAStopCutOffIsFoundUnlessItWasSentInTimeAndAtWorkToTheLast() {
		stopBegan();
		ran(CallKind.LONG);
		cutLong(2900, 7300);
		assertThat(broken()).as("sent in time, cut at the last").isEmpty();
		cutLong(3100, 7300);
		assertThat(broken()).as("sent too late").singleElement().asString().startsWith("StopsCutNothingOff");
		cutLong(2900, 6500);
		assertThat(broken()).as("cut too soon").singleElement().asString().startsWith("StopsCutNothingOff");
	}

	@Test
	void aLongAnswerThatEndsWithItsTimeIsNotCutOffByTheStop() {
		stopBegan();
		ran(CallKind.LONG);
		cutLong(3100, 9075);
		assertThat(broken()).isEmpty();
		cutLong(3100, 9060);
		assertThat(broken()).singleElement().asString().startsWith("StopsCutNothingOff");
	}

	@Test
	void requestsThatEndEarlyWhileServersAreOnlySilentBreakTheRule() {
		call(CallKind.STREAM, 200, Answers.event("c1", 1), false, 1200);
		silent();
		assertThat(broken()).as("it has not reached a server").noneMatch((line) -> line.startsWith("Silences"));
		ran(CallKind.STREAM);
		assertThat(broken()).singleElement().asString().startsWith("SilencesCutNothingOff");
		this.calls.clear();
		this.runs.clear();
		ran(CallKind.AGAIN);
		call(CallKind.AGAIN, 502, "", true, 1200);
		assertThat(broken()).singleElement().asString().startsWith("SilencesCutNothingOff");
		this.calls.clear();
		call(CallKind.AGAIN, 504, "", true, 2975);
		assertThat(broken()).as("its time is over").isEmpty();
	}

	@Test
	void onlyFaultsOfServersAndOfItsProcessExcuseAGatewayDuringASilence() {
		call(CallKind.STREAM, 200, Answers.event("c1", 1), false, 1200);
		ran(CallKind.STREAM);
		assertThat(broken()).as("nothing is silent").isEmpty();
		silent();
		disturbed("store", Disturbance.STORE);
		disturbed("store-link", "g0");
		assertThat(broken()).singleElement().asString().startsWith("SilencesCutNothingOff");
		for (String where : List.of("g0", Disturbance.SERVERS)) {
			this.disturbances.clear();
			silent();
			disturbed("kill", where);
			assertThat(broken()).as("%s disturbed", where).isEmpty();
		}
	}

	@Test
	void silenceDuringAStopExcusesOnlyTheLastPartOfTheGrace() {
		stopBegan();
		silent();
		ran(CallKind.LONG);
		cutLong(2900, 6500);
		assertThat(broken()).anyMatch((line) -> line.startsWith("SilencesCutNothingOff"));
		cutLong(2900, 7300);
		assertThat(broken()).isEmpty();
	}

	private void silent() {
		this.disturbances.add(new Disturbance(SoakSilences.SILENCE, Disturbance.SILENT_SERVERS, START,
				START + TimeUnit.SECONDS.toNanos(3)));
	}

	private void cutLong(long sentMillis, long endedMillis) {
		this.calls.clear();
		this.calls.add(new Call("c1", "c1", CallKind.LONG, "b", SoakWorld.KEY, 0, "g0",
				START + TimeUnit.MILLISECONDS.toNanos(sentMillis), START + TimeUnit.MILLISECONDS.toNanos(endedMillis),
				200, Answers.signature(SERVER, "c1"), Answers.event("c1", 1), false));
	}

	@Test
	void aFatalRequestThatGoesOnIsFound() {
		fatalRuns(6);
		assertThat(broken()).isEmpty();
		fatalRuns(7);
		assertThat(broken()).isNotEmpty().allMatch((line) -> line.startsWith("FatalRequestsAreKeptBack"));
	}

	@Test
	void sendsOfADisturbedGatewayDoNotCount() {
		fatalRuns(7);
		this.disturbances.add(new Disturbance("kill", "g0", START, START + TimeUnit.SECONDS.toNanos(100)));
		assertThat(broken()).isEmpty();
	}

	private void fatalRuns(int count) {
		this.calls.clear();
		this.runs.clear();
		for (int i = 0; i < count; i++) {
			long atNanos = START + TimeUnit.SECONDS.toNanos(4L * i);
			this.calls.add(new Call("c" + i, "fatal", CallKind.FATAL, "b", SoakWorld.KEY, 0, "g0", atNanos, atNanos + 1,
					502, null, "", true));
			this.runs.add(new Run("c" + i, "desk", "desk-run-" + i, CallKind.FATAL.method(),
					CallKind.FATAL.target("fatal"), "b", SoakWorld.ORGANISATION, false, List.of("bad"), atNanos));
		}
	}

	@Test
	void aCrashingPartThatRunsOnIsFound() {
		this.crashingPartUntil.put("bad", Long.MAX_VALUE);
		fatalRuns(8);
		assertThat(broken()).noneMatch((line) -> line.contains("part bad"));
		fatalRuns(9);
		assertThat(broken()).anyMatch((line) -> line.contains("part bad ran 4 times"));
		this.crashingPartUntil.put("bad", START + TimeUnit.SECONDS.toNanos(20));
		assertThat(broken()).noneMatch((line) -> line.contains("part bad"));
	}

	@Test
	void aLimitedServerThatGetsMoreIsFound() {
		limitedArrivals(11);
		assertThat(limitBroken()).isEmpty();
		limitedArrivals(12);
		assertThat(limitBroken()).singleElement().asString().contains("got 12 requests");
	}

	@Test
	void aLimitThatHasEndedAllowsEverything() {
		limitedArrivals(12);
		this.limits.add(new LimitChange(SERVER, LimitChange.NONE, START + TimeUnit.SECONDS.toNanos(3)));
		assertThat(limitBroken()).isEmpty();
	}

	@Test
	void whatADisturbedGatewaySendsToALimitedServerDoesNotCount() {
		limitedArrivals(12);
		this.disturbances.add(new Disturbance("kill", "g0", START, START + TimeUnit.SECONDS.toNanos(100)));
		assertThat(limitBroken()).isEmpty();
	}

	private List<String> limitBroken() {
		return new LimitsAreKept().broken(new SoakHistory(this.calls, this.runs, this.disturbances, this.drains,
				Map.of(), this.arrivals, this.limits, this.backoffs, this.departures, this.configurations,
				this.evacuations, Map.copyOf(this.crashingPartUntil)));
	}

	private void limitedArrivals(int count) {
		this.calls.clear();
		this.arrivals.clear();
		this.limits.clear();
		this.limits.add(new LimitChange(SERVER, 1, START));
		limitedArrival("told", 1000);
		for (int i = 0; i < count; i++) {
			limitedArrival("c" + i, 6000 + 300L * i);
		}
	}

	private void limitedArrival(String request, long afterMillis) {
		long atNanos = START + TimeUnit.MILLISECONDS.toNanos(afterMillis);
		this.calls.add(new Call(request, request, CallKind.AGAIN, "", SoakWorld.KEY, 0, "g0", atNanos, atNanos + 1, 200,
				Answers.signature(SERVER, request), Answers.plain(request), true));
		this.arrivals.add(new ServerArrival(SERVER, "dc-0", request, atNanos));
	}

	@Test
	void aContinuedStreamHoldsWhatFollowsAndNothingElse() {
		ran(CallKind.STREAM);
		continued(Answers.streamAfter("c1", 4));
		assertThat(broken()).isEmpty();
		continued(Answers.stream("c1"));
		assertThat(broken()).isNotEmpty().allMatch((line) -> line.startsWith("AnswersAreWholeAndOwn"));
	}

	private void continued(String answer) {
		this.calls.clear();
		this.calls.add(new Call("c1", "c1", CallKind.STREAM, "b", SoakWorld.KEY, 4, "g0", START, START + 1, 200,
				Answers.signature(SERVER, "c1"), answer, true));
	}

	private void answeredBy(String id, long sentMillis, int status) {
		long sentNanos = START + TimeUnit.MILLISECONDS.toNanos(sentMillis);
		this.calls.add(new Call(id, id, CallKind.AGAIN, "", SoakWorld.KEY, 0, "g0", sentNanos, sentNanos + 1, status,
				(status == 200) ? Answers.signature(SERVER, id) : null, (status == 200) ? Answers.plain(id) : "",
				true));
		this.arrivals.add(new ServerArrival(SERVER, "dc-0", id, sentNanos));
		if (status == 200) {
			this.runs.add(new Run(id, "desk", SERVER, "GET", CallKind.AGAIN.target(id), "", SoakWorld.ORGANISATION,
					false, List.of(), sentNanos));
		}
	}

	@Test
	void theThirdRequestWithinRetryAfterBreaksTheRule() {
		answeredBy("c1", 0, 503);
		this.backoffs.add(new BackoffRequest(SERVER, "c1", 3, START));
		answeredBy("c2", 400, 503);
		answeredBy("c3", 600, 503);
		answeredBy("c4", 700, 503);
		answeredBy("c5", 3100, 503);
		assertThat(broken()).isEmpty();
		answeredBy("c6", 2900, 503);
		assertThat(broken()).singleElement().asString().startsWith("RetryAfterIsKept");
		disturbed("kill", "g0");
		assertThat(broken()).as("a restart excuses the gateway").isEmpty();
	}

	@Test
	void aRequestThatIsSentAfterAnAnnouncedDepartureBreaksTheRule() {
		this.departures.add(new Departure(SERVER, START - 1));
		answeredBy("c1", 0, 200);
		answeredBy("c2", 1900, 200);
		assertThat(broken()).isEmpty();
		answeredBy("c3", 2200, 200);
		assertThat(broken()).singleElement().asString().startsWith("AnnouncedLeavingIsKept");
	}

	@Test
	void newKeyThatIsRefusedTooLateBreaksTheRule() {
		written(2, "desk", 0);
		written(3, "desk", 10_000);
		keyCall("key-3", CallKind.AGAIN, 13_990, 401);
		assertThat(broken()).as("within the bound").isEmpty();
		keyCall("key-3", CallKind.AGAIN, 14_010, 401);
		assertThat(broken()).singleElement().asString().startsWith("ConfigurationsComeInForce");
		written(4, "desk", 14_005);
		assertThat(broken()).as("a newer one may be in force already").isEmpty();
	}

	@Test
	void removedKeyThatIsServedTooLateBreaksTheRule() {
		written(2, "desk", 0);
		written(3, "desk", 10_000);
		keyCall("key-2", CallKind.AGAIN, 13_990, 200);
		ranFor(CallKind.AGAIN, 13_990);
		assertThat(broken()).as("within the bound").isEmpty();
		keyCall("key-2", CallKind.AGAIN, 14_010, 200);
		ranFor(CallKind.AGAIN, 14_010);
		assertThat(broken()).singleElement().asString().startsWith("ConfigurationsComeInForce");
	}

	@Test
	void moveOfARouteThatIsNotFollowedInTimeBreaksTheRule() {
		written(2, "desk", 0);
		written(3, "desk-new", 10_000);
		keyCall(SoakWorld.KEY, CallKind.MOVING, 13_990, 200);
		ranFor(CallKind.MOVING, 13_990);
		assertThat(broken()).as("within the bound").isEmpty();
		keyCall(SoakWorld.KEY, CallKind.MOVING, 14_010, 200);
		ranFor(CallKind.MOVING, 14_010);
		assertThat(broken()).singleElement().asString().startsWith("ConfigurationsComeInForce");
	}

	@Test
	void disturbanceExcusesALateConfigurationForTheStableWindowOnly() {
		written(2, "desk", -20_000);
		written(3, "desk", -10_000);
		for (String where : List.of("g0", Disturbance.STORE)) {
			this.disturbances.clear();
			disturbed("store-connections", where);
			keyCall("key-3", CallKind.AGAIN, 2990, 401);
			assertThat(broken()).as("%s within the window", where).isEmpty();
			keyCall("key-3", CallKind.AGAIN, 3010, 401);
			assertThat(broken()).singleElement().asString().startsWith("ConfigurationsComeInForce");
		}
	}

	@Test
	void requestToAnEvacuatedDataCentreBreaksTheRuleUnlessTheStoreWasDisturbedAsItBegan() {
		this.evacuations.add(new WrittenEvacuation("dc-1", START, START + TimeUnit.SECONDS.toNanos(20)));
		this.evacuations.add(evacuated(10_000, 20_000));
		answeredBy("c1", 13_990, 200);
		answeredBy("c2", 20_000, 200);
		assertThat(broken()).as("before the bound and after the end").isEmpty();
		answeredBy("c3", 14_010, 200);
		assertThat(broken()).singleElement().asString().startsWith("EvacuatedServersGetNothing");
		disturbedAt(Disturbance.STORE, 14_005);
		disturbedAt("g0", 11_000);
		assertThat(broken()).as("the gateway was away as it began").isEmpty();
		answeredBy("c4", 19_000, 200);
		assertThat(broken()).as("it is in touch again").hasSize(1);
		disturbedAt(Disturbance.STORE, 10_000);
		assertThat(broken()).isEmpty();
	}

	private static WrittenEvacuation evacuated(long fromMillis, long untilMillis) {
		return new WrittenEvacuation("dc-0", START + TimeUnit.MILLISECONDS.toNanos(fromMillis),
				START + TimeUnit.MILLISECONDS.toNanos(untilMillis));
	}

	private void disturbedAt(String where, long afterMillis) {
		long nanos = START + TimeUnit.MILLISECONDS.toNanos(afterMillis);
		this.disturbances.add(new Disturbance("kill", where, nanos, nanos));
	}

	private void written(long version, String movingTo, long afterMillis) {
		this.configurations.add(new WrittenConfiguration(version, "key-" + version,
				Set.of(SoakWorld.KEY, "key-" + version), movingTo, START + TimeUnit.MILLISECONDS.toNanos(afterMillis)));
	}

	private void keyCall(String key, CallKind kind, long sentMillis, int status) {
		long sentNanos = START + TimeUnit.MILLISECONDS.toNanos(sentMillis);
		this.calls.clear();
		this.calls.add(new Call("c1", "c1", kind, "b", key, 0, "g0", sentNanos, sentNanos + 1, status,
				(status == 200) ? Answers.signature(SERVER, "c1") : null, (status == 200) ? Answers.plain("c1") : "",
				true));
	}

	private void ranFor(CallKind kind, long atMillis) {
		this.runs.clear();
		run(kind, "desk", SoakWorld.ORGANISATION, false, atMillis);
	}

}
