package org.snowwind.app.measure.balance;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.Future;
import org.snowwind.agent.rank.HttpRankGroup;
import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.Measurement;
import org.snowwind.app.measure.MeasurementFailed;
import org.snowwind.balance.handover.RankGroup;
import org.snowwind.balance.handover.SwitchDriver;
import org.snowwind.balance.handover.SwitchOwner;
import org.snowwind.config.settings.Addresses;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.model.MonotonicClock;
import org.snowwind.standin.StandInRankGroup;
import org.snowwind.standin.StandInRankGroup.RankFaults;

/**
 * Switches of a lock-step group's map over real sockets, with and without faults.
 */
public final class SwitchMeasurement implements Measurement {

	private static final int RANKS = 64;

	private static final int SMALL_RANKS = 8;

	private static final long STEP_MILLIS = 5;

	private static final long LEAD_STEPS = 10;

	private static final long TICK_MILLIS = 10;

	private static final long ATTEMPT_MILLIS = 600;

	private static final long STUCK_MILLIS = 10_000;

	private static final double LOST_SHARE = 0.1;

	@Override
	public String name() {
		return "switch";
	}

	@Override
	public String summary() {
		return "switches of a group's expert map over real sockets: time, waiting steps, mixed steps";
	}

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		List<Figure> figures = new ArrayList<>();
		describe(figures, "64 ranks", one(RANKS, RankFaults.NONE, options.seed()));
		describe(figures, "64 ranks, one 50 ms late", one(RANKS, new RankFaults(0, 3, 50), options.seed()));
		int runs = options.repeats(500, 40);
		long mixed = 0;
		long stuck = 0;
		for (int run = 0; run < runs; run++) {
			Outcome outcome = one(SMALL_RANKS, new RankFaults(LOST_SHARE, run % SMALL_RANKS, 20), options.seed() + run);
			mixed += outcome.mixedSteps();
			stuck += outcome.done() ? 0 : 1;
		}
		String suffix = " in " + runs + " runs with a tenth of messages lost and two owners";
		figures.add(Figure.of("mixed steps" + suffix, mixed, "steps").atMost(0));
		figures.add(Figure.of("stuck groups" + suffix, stuck, "groups").atMost(0));
		return figures;
	}

	private static void describe(List<Figure> figures, String prefix, Outcome outcome) {
		figures.add(Figure.of(prefix + ": until all run the new map", outcome.millis(), "ms"));
		figures.add(Figure.of(prefix + ": steps' times that waited", outcome.waitedSteps(), "steps"));
		figures.add(Figure.of(prefix + ": mixed steps", outcome.mixedSteps(), "steps").atMost(0));
		figures.add(Figure.of(prefix + ": done", outcome.done() ? 1 : 0, "of 1").atLeast(1));
	}

	private static Outcome one(int ranks, RankFaults faults, long seed) throws InterruptedException {
		DataLoop groupLoop = new DataLoop("ranks");
		DataLoop ownerLoop = new DataLoop("owner");
		try (StandInRankGroup group = new StandInRankGroup(groupLoop, ranks, 1, STEP_MILLIS, seed);
				UpstreamClient client = new UpstreamClient(ownerLoop, 1000)) {
			String url = "http://"
					+ Addresses.render(group.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
			group.faults(faults);
			HttpRankGroup orders = new HttpRankGroup(client, url);
			boolean faulty = faults.lostShare() > 0;
			long startNanos = System.nanoTime();
			boolean done = drive(ownerLoop, orders, ranks, faulty);
			long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			group.halt();
			return new Outcome(done, millis, group.waitedSteps(), group.mixedSteps());
		}
		finally {
			groupLoop.close();
			ownerLoop.close();
		}
	}

	// With faults an older owner acts on beside the one that counts.
	private static boolean drive(DataLoop loop, RankGroup group, int ranks, boolean twoOwners)
			throws InterruptedException {
		CountDownLatch done = new CountDownLatch(1);
		MonotonicClock clock = MonotonicClock.system();
		List<Future<?>> ticks = new ArrayList<>();
		if (twoOwners) {
			SwitchDriver old = new SwitchDriver(new SwitchOwner(ranks, 1, 2, LEAD_STEPS), group, ranks, clock,
					ATTEMPT_MILLIS);
			ticks.add(loop.every(old::tick, TICK_MILLIS));
		}
		SwitchDriver driver = new SwitchDriver(new SwitchOwner(ranks, 2, 2, LEAD_STEPS), group, ranks, clock,
				ATTEMPT_MILLIS);
		ticks.add(loop.every(() -> {
			if (driver.tick()) {
				done.countDown();
			}
		}, TICK_MILLIS));
		boolean inTime = done.await(STUCK_MILLIS, TimeUnit.MILLISECONDS);
		ticks.forEach((tick) -> tick.cancel(false));
		return inTime;
	}

	private record Outcome(boolean done, long millis, long waitedSteps, long mixedSteps) {
	}

}
