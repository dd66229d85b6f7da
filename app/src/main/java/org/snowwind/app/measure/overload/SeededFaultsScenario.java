package org.snowwind.app.measure.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.apache.thrift.transport.TTransportException;
import org.snowwind.app.load.CallKind;
import org.snowwind.app.load.CallOutcome;
import org.snowwind.app.load.CallPlan;
import org.snowwind.app.load.CallRecord;
import org.snowwind.app.load.Caller;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.app.load.PromiseCheck;
import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureFleet;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.MeasurementFailed;
import org.snowwind.app.trial.TrialFleet;
import org.snowwind.standin.EngineFaults;
import org.snowwind.standin.PlainFaults;
import org.snowwind.standin.StandInEngine;
import org.snowwind.standin.StandInPlainService;

/**
 * Many short runs, each with faults drawn from its seed.
 */
final class SeededFaultsScenario implements OverloadScenario {

	private static final int RUNS = 200;

	private static final int QUICK_RUNS = 6;

	private static final int CALLS = 40;

	private static final long BUDGET_MILLIS = 4000;

	private static final int PAUSE_MILLIS = 4;

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		List<Caller> callers = MeasureFleet.callers(2);
		int runs = options.repeats(RUNS, QUICK_RUNS);
		try (Rig rig = new Rig(2, 2, BUDGET_MILLIS, callers, MeasureFleet.generous())) {
			PromiseCheck snowwind = faultyRuns(rig, callers, true, runs, options.seed());
			PromiseCheck plain = faultyRuns(rig, callers, false, Math.min(runs, 50), options.seed());
			List<Figure> figures = new ArrayList<>();
			String suffix = " in " + runs + " seeded runs";
			figures.add(Figure.of("faults: duplicated effects" + suffix, snowwind.duplicated(), "charges")
				.against(plain.duplicated())
				.atMost(0));
			figures.add(Figure.of("faults: falsely not run" + suffix, snowwind.falselyNotRun(), "charges")
				.against(plain.falselyNotRun())
				.atMost(0));
			figures.add(Figure
				.of("faults: mixed up or truncated but clean" + suffix, snowwind.count(CallOutcome.WRONG), "calls")
				.against(plain.count(CallOutcome.WRONG))
				.atMost(0));
			figures.add(
					Figure.of("faults: answered" + suffix, snowwind.count(CallOutcome.ANSWERED), "of " + runs * CALLS));
			figures.add(Figure.of("faults: outcome unknown" + suffix, snowwind.count(CallOutcome.UNKNOWN), "calls"));
			return figures;
		}
	}

	private static PromiseCheck faultyRuns(Rig rig, List<Caller> callers, boolean snowwind, int runs, long firstSeed)
			throws InterruptedException, MeasurementFailed {
		List<CallRecord> records = new ArrayList<>();
		for (int run = 0; run < runs; run++) {
			Random random = new Random(firstSeed + run);
			String name = (snowwind ? "s" : "p") + run;
			try (LoadGenerator load = rig.load(name, snowwind)) {
				int crashAt = (random.nextInt(3) == 0) ? random.nextInt(CALLS) : -1;
				for (int call = 0; call < CALLS; call++) {
					drawFaults(rig.fleet(), random);
					load.send(draw(random), callers.get(random.nextInt(callers.size())));
					if (call == crashAt && snowwind) {
						crash(rig.fleet(), random);
					}
					TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
				}
				heal(rig.fleet());
				Rig.awaitIdle(load);
				records.addAll(load.records());
			}
		}
		return new PromiseCheck(records, rig.fleet().effects());
	}

	private static CallPlan draw(Random random) {
		CallPlan plan = Rig.generate(BUDGET_MILLIS);
		int dice = random.nextInt(10);
		if (dice < 3) {
			return plan;
		}
		return plan.as((dice < 5) ? CallKind.LOOKUP : CallKind.CHARGE);
	}

	private static void drawFaults(TrialFleet fleet, Random random) {
		if (random.nextInt(4) != 0) {
			return;
		}
		PlainFaults.BreakAt[] points = PlainFaults.BreakAt.values();
		PlainFaults faults = new PlainFaults(random.nextInt(10), points[random.nextInt(points.length)],
				1 + random.nextInt(2));
		pick(List.copyOf(fleet.services().values()), random).faults(faults);
		EngineFaults engineFaults = new EngineFaults(random.nextInt(8) == 0, 1 + random.nextInt(15), random.nextInt(2));
		pick(List.copyOf(fleet.engines().values()), random).faults(engineFaults);
	}

	private static void crash(TrialFleet fleet, Random random) throws MeasurementFailed {
		List<String> names = fleet.agents().keySet().stream().sorted().toList();
		try {
			fleet.crashAndRestartAgent(pick(names, random));
		}
		catch (TTransportException ex) {
			throw new MeasurementFailed("an agent cannot be started again", ex);
		}
	}

	private static void heal(TrialFleet fleet) {
		for (StandInPlainService service : fleet.services().values()) {
			service.faults(PlainFaults.NONE);
		}
		for (Map.Entry<String, StandInEngine> engine : fleet.engines().entrySet()) {
			engine.getValue().faults(EngineFaults.NONE);
		}
	}

	private static <T> T pick(List<T> from, Random random) {
		return from.get(random.nextInt(from.size()));
	}

}
