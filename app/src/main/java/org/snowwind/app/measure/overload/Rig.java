package org.snowwind.app.measure.overload;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.snowwind.app.load.CallKind;
import org.snowwind.app.load.CallPlan;
import org.snowwind.app.load.Caller;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.app.measure.MeasureFleet;
import org.snowwind.app.measure.MeasurementFailed;
import org.snowwind.app.trial.TrialFleet;
import org.snowwind.app.trial.TrialSettings;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.standin.EngineSettings;

/**
 * A small fleet and a plain balancer before the same back ends.
 */
final class Rig implements AutoCloseable {

	/** How many tokens a request asks for. */
	static final int TOKENS = 20;

	/** Engines that take 16 requests at once and 210 ms for each. */
	static final EngineSettings ENGINE = EngineSettings.DEFAULT.withPace(10, 16);

	private static final long IDLE_TIMEOUT_MILLIS = 60_000;

	private static final long PAUSE_MILLIS = 5;

	private final TrialFleet fleet;

	private final PlainBalancer plain;

	private final String plainUrl;

	Rig(int engines, int services, long budgetMillis, List<Caller> callers, OrganisationSpec limits)
			throws MeasurementFailed, InterruptedException {
		TrialSettings settings = TrialSettings.DEFAULT.sized(List.of("casa"), 1, engines, services)
			.withEngines(ENGINE, 16, 64, 256)
			.timed(budgetMillis, 250, 1000);
		this.fleet = MeasureFleet.start(settings, callers, limits);
		this.plain = new PlainBalancer(this.fleet.backendAddresses(TrialFleet.MODEL),
				this.fleet.backendAddresses(TrialFleet.SERVICE), budgetMillis / 2);
		this.plainUrl = this.plain.start();
	}

	TrialFleet fleet() {
		return this.fleet;
	}

	LoadGenerator load(String name, boolean throughSnowwind) {
		return new LoadGenerator(name, throughSnowwind ? this.fleet.callerUrls() : List.of(this.plainUrl));
	}

	static CallPlan generate(long budgetMillis) {
		return new CallPlan(CallKind.GENERATE, TrialFleet.MODEL, TrialFleet.SERVICE, TOKENS, 60, budgetMillis);
	}

	/**
	 * Sends calls at a rate, whatever becomes of them.
	 * @param perSecond the rate
	 * @param millis how long, in milliseconds
	 * @param sender sends one call
	 * @return how many were sent
	 * @throws InterruptedException if the sending thread is interrupted
	 */
	static int openLoop(double perSecond, long millis, Runnable sender) throws InterruptedException {
		long startNanos = System.nanoTime();
		int sent = 0;
		double elapsedMillis = 0;
		while (elapsedMillis < millis) {
			while (sent < perSecond * elapsedMillis / 1000) {
				sender.run();
				sent++;
			}
			TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
			elapsedMillis = (System.nanoTime() - startNanos) / 1e6;
		}
		return sent;
	}

	static void awaitIdle(LoadGenerator load) throws InterruptedException, MeasurementFailed {
		if (!load.awaitIdle(IDLE_TIMEOUT_MILLIS)) {
			throw new MeasurementFailed(load.open() + " calls never ended");
		}
	}

	@Override
	public void close() {
		this.plain.close();
		this.fleet.close();
	}

}
