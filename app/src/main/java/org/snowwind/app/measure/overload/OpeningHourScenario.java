package org.snowwind.app.measure.overload;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.snowwind.app.load.CallOutcome;
import org.snowwind.app.load.CallPlan;
import org.snowwind.app.load.CallRecord;
import org.snowwind.app.load.Caller;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureFleet;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.MeasurementFailed;

/**
 * Everyone arrives at once, at four times what the engines can do.
 */
final class OpeningHourScenario implements OverloadScenario {

	private static final int ENGINES = 2;

	private static final double OVERLOAD = 4;

	private static final long BUDGET_MILLIS = 2000;

	private static final double MIN_GOODPUT = 0.95;

	private static final double MAX_LATE_SHARE = 0.01;

	private static final double MAX_REFUSAL_MILLIS = 50;

	private static final double P99 = 0.99;

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		List<Caller> callers = MeasureFleet.callers(10);
		long millis = options.repeats(20_000, 2500);
		try (Rig rig = new Rig(ENGINES, 0, BUDGET_MILLIS, callers, MeasureFleet.generous())) {
			double capacity = goodput(rush(rig, callers, true, capacityGuess(), millis), millis);
			List<CallRecord> rush = rush(rig, callers, true, capacity * OVERLOAD, millis);
			long plainMillis = options.repeats(8000, 1200);
			List<CallRecord> plain = rush(rig, callers, false, capacity * OVERLOAD, plainMillis);
			return List.of(Figure.of("opening hour: capacity at just enough load", capacity, "answers/s"),
					Figure
						.of("opening hour: goodput at 4x load over capacity", goodput(rush, millis) / capacity, "ratio")
						.against(goodput(plain, plainMillis) / capacity)
						.atLeast(MIN_GOODPUT),
					Figure.of("opening hour: late share", lateShare(rush), "share")
						.against(lateShare(plain))
						.atMost(MAX_LATE_SHARE),
					Figure.of("opening hour: refused told within p99", refusalMillis(rush), "ms")
						.against(refusalMillis(plain))
						.atMost(MAX_REFUSAL_MILLIS));
		}
	}

	private static double capacityGuess() {
		double requestMillis = (Rig.TOKENS + 1.0) * Rig.ENGINE.stepMillis();
		return ENGINES * Rig.ENGINE.maxBatch() * 1000 / requestMillis;
	}

	private static List<CallRecord> rush(Rig rig, List<Caller> callers, boolean snowwind, double perSecond, long millis)
			throws InterruptedException, MeasurementFailed {
		CallPlan plan = Rig.generate(BUDGET_MILLIS);
		AtomicInteger turn = new AtomicInteger();
		try (LoadGenerator load = rig.load("rush", snowwind)) {
			Rig.openLoop(perSecond, millis,
					() -> load.send(plan, callers.get(turn.getAndIncrement() % callers.size())));
			Rig.awaitIdle(load);
			return load.records();
		}
	}

	private static double goodput(List<CallRecord> calls, long millis) {
		long good = calls.stream().filter((call) -> call.outcome() == CallOutcome.ANSWERED && !call.late()).count();
		return good * 1000.0 / millis;
	}

	private static double lateShare(List<CallRecord> calls) {
		return (double) calls.stream().filter(CallRecord::late).count() / calls.size();
	}

	private static double refusalMillis(List<CallRecord> calls) {
		long[] times = calls.stream()
			.filter((call) -> call.outcome() != CallOutcome.ANSWERED)
			.mapToLong(CallRecord::elapsedMillis)
			.sorted()
			.toArray();
		return (times.length == 0) ? 0 : times[(int) (P99 * (times.length - 1))];
	}

}
