package org.snowwind.app.measure.overload;

import java.util.List;

import org.snowwind.app.load.CallOutcome;
import org.snowwind.app.load.CallPlan;
import org.snowwind.app.load.CallRecord;
import org.snowwind.app.load.Caller;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureFleet;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.MeasurementFailed;
import org.snowwind.standin.EngineFaults;
import org.snowwind.standin.StandInEngine;

/**
 * A tenth of the engines stalls while their agents look well.
 */
final class StalledServerScenario implements OverloadScenario {

	private static final int ENGINES = 10;

	private static final double PER_SECOND = 100;

	private static final long BUDGET_MILLIS = 6000;

	private static final double MIN_SUCCESS = 0.999;

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		List<Caller> callers = MeasureFleet.callers(1);
		long millis = options.repeats(15_000, 2500);
		try (Rig rig = new Rig(ENGINES, 0, BUDGET_MILLIS, callers, MeasureFleet.generous())) {
			StandInEngine stalled = rig.fleet().engines().values().iterator().next();
			double success = success(phase(rig, stalled, callers.get(0), true, millis));
			double plain = success(phase(rig, stalled, callers.get(0), false, millis));
			return List.of(Figure.of("stalled tenth: success within the budget", success, "share")
				.against(plain)
				.atLeast(MIN_SUCCESS));
		}
	}

	private static List<CallRecord> phase(Rig rig, StandInEngine engine, Caller caller, boolean snowwind, long millis)
			throws InterruptedException, MeasurementFailed {
		CallPlan plan = Rig.generate(BUDGET_MILLIS);
		try (LoadGenerator load = rig.load("stall", snowwind)) {
			Rig.openLoop(PER_SECOND, millis / 4, () -> load.send(plan, caller));
			engine.faults(new EngineFaults(true, 0, 0));
			Rig.openLoop(PER_SECOND, millis, () -> load.send(plan, caller));
			Rig.awaitIdle(load);
			return load.records();
		}
		finally {
			engine.faults(EngineFaults.NONE);
		}
	}

	private static double success(List<CallRecord> calls) {
		long good = calls.stream().filter((call) -> call.outcome() == CallOutcome.ANSWERED && !call.late()).count();
		return (double) good / calls.size();
	}

}
