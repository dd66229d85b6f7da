package org.snowwind.app.measure.balance;

import java.util.ArrayList;
import java.util.List;

import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.Measurement;
import org.snowwind.app.measure.balance.SyntheticTrace.TraceShape;
import org.snowwind.balance.plan.BalanceCost;
import org.snowwind.balance.plan.CostAwarePlanner;
import org.snowwind.balance.plan.ExpertPlacement;
import org.snowwind.balance.plan.FullReplan;
import org.snowwind.balance.plan.MapPlanner;

/**
 * How long planning takes at the size that is designed for.
 */
public final class PlanMeasurement implements Measurement {

	private static final double MAX_MILLIS = 200;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final int SLOTS = 3;

	private static final int WARM_UP = 3;

	@Override
	public String name() {
		return "plan";
	}

	@Override
	public String summary() {
		return "planning time at 64 ranks, 128 experts, 60 layers, and its slopes";
	}

	@Override
	public List<Figure> run(MeasureOptions options) {
		List<Figure> figures = new ArrayList<>();
		int repeats = options.repeats(15, 5);
		CostAwarePlanner ours = new CostAwarePlanner(new BalanceCost(1, 2, 0.044, 1800));
		figures
			.add(Figure.of("64 ranks, 128 experts, 60 layers", millis(ours, 64, 128, 60, options.seed(), repeats), "ms")
				.against(millis(new FullReplan(), 64, 128, 60, options.seed(), repeats))
				.atMost(MAX_MILLIS));
		figures.add(Figure.of("64 ranks, 128 experts, 30 layers", millis(ours, 64, 128, 30, options.seed(), repeats),
				"ms"));
		figures
			.add(Figure.of("32 ranks, 64 experts, 60 layers", millis(ours, 32, 64, 60, options.seed(), repeats), "ms"));
		figures
			.add(Figure.of("64 ranks, 64 experts, 60 layers", millis(ours, 64, 64, 60, options.seed(), repeats), "ms"));
		return figures;
	}

	private static double millis(MapPlanner planner, int ranks, int experts, int layers, long seed, int repeats) {
		ExpertPlacement start = ExpertPlacement.roundRobin(layers, experts, ranks, SLOTS);
		TraceShape shape = new TraceShape(layers, experts, 0.8, 0.1);
		double[][] demand = new SyntheticTrace("plan", shape, 1, seed, (time) -> 0).demandAt(0);
		List<Double> times = new ArrayList<>();
		for (int i = 0; i < WARM_UP + repeats; i++) {
			long startNanos = System.nanoTime();
			planner.plan(start, demand, 0, Integer.MAX_VALUE);
			if (i >= WARM_UP) {
				times.add((System.nanoTime() - startNanos) / NANOS_PER_MILLI);
			}
		}
		times.sort(null);
		return times.get(times.size() / 2);
	}

}
