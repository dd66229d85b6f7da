package org.snowwind.app.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.snowwind.app.harness.Link;

/**
 * Silences of all servers at once during a soak, and signals and changes during them.
 */
final class SoakSilences {

	/** The name of a silence in disturbances. */
	static final String SILENCE = "silence";

	private static final long LEAST_MILLIS = 600;

	private static final long MOST_MILLIS = 3000;

	private static final long MOST_BEFORE_MILLIS = 500;

	/** One silence in so many touches only half of the servers. */
	private static final int HALF_ONE_IN = 4;

	/** One silence in so many comes with a configuration, another one with a SIGHUP. */
	private static final int CHANGE_ONE_IN = 3;

	/** A process that has just been started may not handle signals yet. */
	private static final long STARTING_NANOS = TimeUnit.SECONDS.toNanos(6);

	private SoakSilences() {
	}

	/**
	 * Holds back what all servers send, now and then what half of them send, and delivers
	 * it afterwards.
	 * @param world holds the servers and gateways
	 * @param random decides when the silence begins, which servers it touches, for how
	 * long, and what changes meanwhile
	 * @param later begins and ends it
	 */
	static void begin(SoakWorld world, Random random, SoakFault.Later later) {
		long beforeMillis = random.nextLong(MOST_BEFORE_MILLIS);
		long millis = LEAST_MILLIS + random.nextLong(MOST_MILLIS - LEAST_MILLIS);
		boolean half = random.nextInt(HALF_ONE_IN) == 0;
		Random order = new Random(random.nextLong());
		int change = random.nextInt(CHANGE_ONE_IN);
		int gateway = random.nextInt(world.gateways().size());
		long changeMillis = random.nextLong(millis);
		later.after(beforeMillis, () -> hold(world, half, order, millis, later));
		later.after(beforeMillis + changeMillis, () -> change(world, change, world.gateways().get(gateway)));
	}

	private static void hold(SoakWorld world, boolean half, Random order, long millis, SoakFault.Later later) {
		List<SoakWorld.SoakServer> servers = new ArrayList<>(world.servers());
		Collections.shuffle(servers, order);
		List<Link> links = servers.stream()
			.limit(half ? servers.size() / 2 : servers.size())
			.map(SoakWorld.SoakServer::link)
			.toList();
		long nowNanos = System.nanoTime();
		world.disturbed(new Disturbance(SILENCE, Disturbance.SILENT_SERVERS, nowNanos,
				nowNanos + TimeUnit.MILLISECONDS.toNanos(millis)));
		links.forEach(Link::holdAnswers);
		later.after(millis, () -> links.forEach(Link::releaseAnswers));
	}

	private static void change(SoakWorld world, int change, SoakGateway gateway) throws Exception {
		if (change == 0) {
			world.reconfigure();
		}
		else if (change == 1 && System.nanoTime() - gateway.startedNanos() > STARTING_NANOS) {
			gateway.hangUp(world.seeds());
		}
	}

}
