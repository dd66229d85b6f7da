package org.snowwind.app.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.app.load.CallKind;
import org.snowwind.app.load.CallOutcome;
import org.snowwind.app.load.CallPlan;
import org.snowwind.app.load.Caller;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.app.load.PromiseCheck;
import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureFleet;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.Measurement;
import org.snowwind.app.measure.MeasurementFailed;
import org.snowwind.app.trial.InForceWait;
import org.snowwind.app.trial.TrialFleet;
import org.snowwind.app.trial.TrialSettings;
import org.snowwind.model.Json;
import org.snowwind.operator.OperatorClient;
import org.snowwind.standin.PlatformFaults;

/**
 * The platform goes away under load and comes back.
 */
public final class OutageMeasurement implements Measurement {

	private static final List<CallKind> KINDS = List.of(CallKind.values());

	private static final long PAUSE_MILLIS = 10;

	private static final long CATCH_UP_MILLIS = 10_000;

	private static final double MAX_CATCH_UP_MILLIS = 6000;

	private static final double MAX_CALLS_AFTER_RETURN = 200;

	@Override
	public String name() {
		return "outage";
	}

	@Override
	public String summary() {
		return "requests lost while the platform is away, and the calls after its return";
	}

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		List<Caller> callers = MeasureFleet.callers(2);
		try (TrialFleet fleet = MeasureFleet.start(TrialSettings.DEFAULT, callers, MeasureFleet.generous());
				LoadGenerator load = new LoadGenerator("outage", fleet.callerUrls())) {
			Random random = new Random(options.seed());
			fleet.platform().faults(PlatformFaults.NONE.withOutage(true));
			int calls = options.repeats(3000, 500);
			for (int i = 0; i < calls; i++) {
				CallKind kind = KINDS.get(random.nextInt(KINDS.size()));
				load.send(new CallPlan(kind, TrialFleet.MODEL, TrialFleet.SERVICE, 10, 40, 8000),
						callers.get(i % callers.size()));
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
			}
			if (!load.awaitIdle(30_000)) {
				throw new MeasurementFailed("calls never ended");
			}
			PromiseCheck check = new PromiseCheck(load.records(), fleet.effects());
			List<Figure> figures = new ArrayList<>();
			figures.add(Figure
				.of("requests not answered in the outage", calls - check.count(CallOutcome.ANSWERED), "of " + calls)
				.atMost(0));
			comeBack(fleet, figures);
			return figures;
		}
	}

	private static void comeBack(TrialFleet fleet, List<Figure> figures)
			throws InterruptedException, MeasurementFailed {
		long callsBefore = fleet.platform().calls();
		long backNanos = System.nanoTime();
		fleet.platform().faults(PlatformFaults.NONE);
		JsonNode change = Json.MAPPER.createObjectNode()
			.put("kind", "Service")
			.put("name", "after-the-outage")
			.set("spec", Json.MAPPER.createObjectNode());
		try (OperatorClient client = MeasureFleet.operator(fleet, "entry-casa-1")) {
			client.apply(List.of(change), false);
			if (!InForceWait.await(client, List.of(change), 30_000)) {
				throw new MeasurementFailed("a change after the outage never came in force");
			}
		}
		long caughtUpMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - backNanos);
		TimeUnit.MILLISECONDS.sleep(Math.max(0, CATCH_UP_MILLIS - caughtUpMillis));
		figures.add(Figure.of("a change in force after the return", caughtUpMillis, "ms").atMost(MAX_CATCH_UP_MILLIS));
		figures.add(
				Figure
					.of("platform calls of 6 entries in the 10 s after the return",
							fleet.platform().calls() - callsBefore, "calls")
					.atMost(MAX_CALLS_AFTER_RETURN));
	}

}
