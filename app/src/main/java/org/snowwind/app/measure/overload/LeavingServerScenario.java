package org.snowwind.app.measure.overload;

import java.util.List;
import java.util.Map;

import org.snowwind.app.load.CallOutcome;
import org.snowwind.app.load.CallPlan;
import org.snowwind.app.load.Caller;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.app.load.PromiseCheck;
import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureFleet;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.MeasurementFailed;
import org.snowwind.operator.OperatorClient;
import org.snowwind.standin.StandInEngine;

/**
 * A server is told to drain under load; how long does it still get new work?
 */
final class LeavingServerScenario implements OverloadScenario {

	private static final double PER_SECOND = 100;

	private static final long BUDGET_MILLIS = 5000;

	private static final double MAX_MILLIS = 1000;

	private static final double NANOS_PER_MILLI = 1e6;

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		List<Caller> callers = MeasureFleet.callers(1);
		long millis = options.repeats(6000, 1500);
		CallPlan plan = Rig.generate(BUDGET_MILLIS);
		try (Rig rig = new Rig(3, 0, BUDGET_MILLIS, callers, MeasureFleet.generous());
				LoadGenerator load = rig.load("leave", true);
				OperatorClient operator = MeasureFleet.operator(rig.fleet(), "entry-casa-1")) {
			Map.Entry<String, StandInEngine> leaving = rig.fleet().engines().entrySet().iterator().next();
			Rig.openLoop(PER_SECOND, millis / 2, () -> load.send(plan, callers.get(0)));
			long askedNanos = System.nanoTime();
			new Thread(() -> operator.drain(leaving.getKey()), "drain").start();
			LastBegin last = new LastBegin(leaving.getValue(), askedNanos);
			Rig.openLoop(PER_SECOND, millis, () -> {
				load.send(plan, callers.get(0));
				last.look();
			});
			Rig.awaitIdle(load);
			last.look();
			PromiseCheck check = new PromiseCheck(load.records(), Map.of());
			return List.of(Figure.of("leaving: last new request after", last.millis(), "ms").atMost(MAX_MILLIS),
					Figure
						.of("leaving: requests not answered",
								(double) load.records().size() - check.count(CallOutcome.ANSWERED),
								"of " + load.records().size())
						.atMost(0));
		}
	}

	private static final class LastBegin {

		private final StandInEngine engine;

		private final long sinceNanos;

		private long begunBefore;

		private double lastMillis;

		private LastBegin(StandInEngine engine, long sinceNanos) {
			this.engine = engine;
			this.sinceNanos = sinceNanos;
			this.begunBefore = engine.begun();
		}

		private void look() {
			long begun = this.engine.begun();
			if (begun > this.begunBefore) {
				this.begunBefore = begun;
				this.lastMillis = (System.nanoTime() - this.sinceNanos) / NANOS_PER_MILLI;
			}
		}

		private double millis() {
			return this.lastMillis;
		}

	}

}
