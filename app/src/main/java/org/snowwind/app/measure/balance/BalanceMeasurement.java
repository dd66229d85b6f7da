package org.snowwind.app.measure.balance;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.Measurement;
import org.snowwind.app.measure.MeasurementFailed;
import org.snowwind.balance.plan.BalanceCost;
import org.snowwind.balance.plan.CostAwarePlanner;
import org.snowwind.balance.plan.ExpertPlacement;
import org.snowwind.balance.plan.FullReplan;
import org.snowwind.balance.plan.MapPlanner;
import org.snowwind.balance.plan.StaticPlanner;
import org.snowwind.balance.plan.ThresholdReplan;

/**
 * Our planner against never moving, planning anew each period, and planning anew over a
 * threshold, under the weights of both users.
 */
public final class BalanceMeasurement implements Measurement {

	private static final int RANKS = 16;

	private static final int EXPERTS = 32;

	private static final int SLOTS = 3;

	private static final int LAYERS = 6;

	private static final int PERIODS = 480;

	private static final double EXPERT_GIGABYTES = 0.044;

	private static final double HORIZON_SECONDS = 1800;

	private static final double THRESHOLD = 0.2;

	private static final double FIFTH = 0.2;

	/** Atlas Forme weighs skew more, Adega moves. */
	private static final Map<String, Double> MOVE_WEIGHTS = weights();

	private static Map<String, Double> weights() {
		Map<String, Double> weights = new LinkedHashMap<>();
		weights.put("atlas", 2.0);
		weights.put("adega", 20.0);
		return weights;
	}

	@Override
	public String name() {
		return "balance";
	}

	@Override
	public String summary() {
		return "skew and moved bytes on drifting demand, against three baselines, for both users' weights";
	}

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed {
		List<DemandTrace> traces = (options.demandFile() != null) ? List.of(CsvTrace.read(options.demandFile()))
				: Traces.all(LAYERS, EXPERTS, options.repeats(PERIODS, PERIODS / 2), options.seed());
		List<Figure> figures = new ArrayList<>();
		for (DemandTrace trace : traces) {
			MOVE_WEIGHTS.forEach((user, moveWeight) -> compare(trace, user,
					new BalanceCost(1, moveWeight, EXPERT_GIGABYTES, HORIZON_SECONDS), options.seed(), figures));
		}
		return figures;
	}

	private static void compare(DemandTrace trace, String user, BalanceCost cost, long seed, List<Figure> figures) {
		double[][] first = trace.demandAt(0);
		ExpertPlacement start = ExpertPlacement.roundRobin(first.length, first[0].length, RANKS,
				Math.max(SLOTS, first[0].length / RANKS + 1));
		TraceRun ours = new TraceRun(trace, new CostAwarePlanner(cost), start, cost, seed);
		Map<String, MapPlanner> baselines = new LinkedHashMap<>();
		baselines.put("never", new StaticPlanner());
		baselines.put("full replan", new FullReplan());
		baselines.put("threshold", new ThresholdReplan(THRESHOLD));
		String prefix = trace.name() + ", " + user + ": ";
		describe(figures, prefix + "ours", ours);
		baselines.forEach((name, planner) -> {
			TraceRun other = new TraceRun(trace, planner, start, cost, seed);
			describe(figures, prefix + name, other);
			figures.add(Figure
				.of(prefix + "weighted cost over " + name, ours.weightedCost() / other.weightedCost(), "ratio")
				.against(1)
				.atMost(1));
			if ("full replan".equals(name) && "atlas".equals(user)) {
				againstFullReplan(figures, prefix, ours, other);
			}
		});
		if (Traces.STATIONARY.equals(trace.name())) {
			figures.add(Figure.of(prefix + "moves after warm-up", ours.movesAfterWarmUp(), "experts").atMost(0));
		}
	}

	private static void againstFullReplan(List<Figure> figures, String prefix, TraceRun ours, TraceRun full) {
		figures.add(Figure
			.of(prefix + "moved bytes over full replan", ours.movedGigabytes() / full.movedGigabytes(), "ratio")
			.atMost(FIFTH));
		figures.add(
				Figure.of(prefix + "mean skew over full replan", ours.meanSkew() / full.meanSkew(), "ratio").atMost(1));
	}

	private static void describe(List<Figure> figures, String prefix, TraceRun run) {
		figures.add(Figure.of(prefix + " mean skew", run.meanSkew(), "share"));
		figures.add(Figure.of(prefix + " p99 skew", run.p99Skew(), "share"));
		figures.add(Figure.of(prefix + " moved", run.movedGigabytes(), "GB"));
		figures.add(Figure.of(prefix + " map changes", run.changes(), "changes"));
		figures.add(Figure.of(prefix + " loading", run.disruptionSeconds(), "s"));
		figures.add(Figure.of(prefix + " weighted cost", run.weightedCost(), "skew seconds"));
	}

}
