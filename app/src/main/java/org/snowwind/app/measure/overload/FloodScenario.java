package org.snowwind.app.measure.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.snowwind.app.load.CallOutcome;
import org.snowwind.app.load.CallPlan;
import org.snowwind.app.load.CallRecord;
import org.snowwind.app.load.Caller;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureFleet;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.MeasurementFailed;
import org.snowwind.model.resource.OrganisationSpec;

/**
 * One organisation sends fifty times its share; what does another feel?
 */
final class FloodScenario implements OverloadScenario {

	private static final double CAPACITY_PER_SECOND = 152;

	private static final double SHARE_PER_SECOND = CAPACITY_PER_SECOND / 2;

	private static final double FLOOD_PER_SECOND = SHARE_PER_SECOND * 50;

	/** Above capacity, so that agents too meet the flood; the rest ends at the entry. */
	private static final OrganisationSpec LIMITS = new OrganisationSpec(List.of(), 1, CAPACITY_PER_SECOND * 2, 300,
			2000, 1 << 16);

	private static final double QUIET_PER_SECOND = 20;

	private static final long BUDGET_MILLIS = 5000;

	private static final long WARM_UP_MILLIS = 4000;

	private static final double MAX_RATIO = 1.2;

	private static final double P99 = 0.99;

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		List<Caller> callers = MeasureFleet.callers(2);
		long phaseMillis = options.repeats(15_000, 3000);
		int rounds = options.repeats(2, 1);
		try (Rig rig = new Rig(2, 0, BUDGET_MILLIS, callers, LIMITS)) {
			phase(rig, callers, true, false, phaseMillis / 3);
			List<CallRecord> alone = new ArrayList<>();
			List<CallRecord> flooded = new ArrayList<>();
			List<CallRecord> plain = new ArrayList<>();
			for (int round = 0; round < rounds; round++) {
				alone.addAll(phase(rig, callers, true, false, phaseMillis));
				flooded.addAll(phase(rig, callers, true, true, phaseMillis));
				plain.addAll(phase(rig, callers, false, true, options.repeats(5000, 1500)));
			}
			double aloneP99 = percentile(alone);
			return List.of(Figure.of("flood: quiet organisation p99 alone", aloneP99, "ms"),
					Figure.of("flood: quiet organisation p99 under flood", percentile(flooded), "ms")
						.against(percentile(plain)),
					Figure.of("flood: p99 under flood over alone", percentile(flooded) / aloneP99, "ratio")
						.against(percentile(plain) / aloneP99)
						.atMost(MAX_RATIO),
					Figure
						.of("flood: quiet organisation's requests not answered", unanswered(flooded),
								"of " + flooded.size())
						.against(unanswered(plain))
						.atMost(0));
		}
	}

	private static List<CallRecord> phase(Rig rig, List<Caller> callers, boolean snowwind, boolean flood, long millis)
			throws InterruptedException, MeasurementFailed {
		CallPlan plan = Rig.generate(BUDGET_MILLIS);
		AtomicBoolean stop = new AtomicBoolean();
		try (LoadGenerator noise = rig.load("flood", snowwind); LoadGenerator quiet = rig.load("quiet", snowwind)) {
			Thread flooder = new Thread(() -> flood(noise, plan, callers.get(1), stop), "flooder");
			if (flood) {
				flooder.start();
				Rig.openLoop(0, Math.min(WARM_UP_MILLIS, millis / 2), () -> {
				});
			}
			Rig.openLoop(QUIET_PER_SECOND, millis, () -> quiet.send(plan, callers.get(0)));
			stop.set(true);
			if (flood) {
				flooder.join();
			}
			Rig.awaitIdle(quiet);
			Rig.awaitIdle(noise);
			return quiet.records();
		}
	}

	private static void flood(LoadGenerator noise, CallPlan plan, Caller caller, AtomicBoolean stop) {
		try {
			while (!stop.get()) {
				Rig.openLoop(FLOOD_PER_SECOND, 200, () -> noise.send(plan, caller));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static double percentile(List<CallRecord> calls) {
		long[] times = calls.stream().mapToLong(CallRecord::elapsedMillis).sorted().toArray();
		return times[(int) (P99 * (times.length - 1))];
	}

	private static double unanswered(List<CallRecord> calls) {
		return calls.stream().filter((call) -> call.outcome() != CallOutcome.ANSWERED || call.late()).count();
	}

}
