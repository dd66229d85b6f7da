package org.snowwind.app.soak;

import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Evacuations of data centres during a soak.
 */
final class SoakEvacuations {

	private static final long LEAST_MILLIS = 3000;

	private static final long MOST_MILLIS = 8000;

	/** The time until what is written again is seen by gateways, in milliseconds. */
	private static final long SEEN_MILLIS = 1500;

	/** The time after the last fault until bounds apply, in milliseconds. */
	private static final long CALM_MILLIS = 3000;

	private SoakEvacuations() {
	}

	/**
	 * Evacuates a data centre for some seconds.
	 * @param world holds the data centres
	 * @param random decides which one and for how long
	 * @param later ends the evacuation
	 */
	static void begin(SoakWorld world, Random random, SoakFault.Later later) {
		String dataCentre = SoakWorld.DATA_CENTRES.get(random.nextInt(SoakWorld.DATA_CENTRES.size()));
		long millis = LEAST_MILLIS + random.nextLong(MOST_MILLIS - LEAST_MILLIS);
		if (world.isEvacuated(dataCentre)) {
			return;
		}
		world.evacuate(dataCentre);
		later.after(millis, () -> {
			// The store may have lost it.
			world.evacuate(dataCentre);
			later.after(SEEN_MILLIS, () -> world.endEvacuation(dataCentre));
		});
	}

	/**
	 * Evacuates a data centre after all faults and waits until it must be in force.
	 * @param world holds the data centres
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	static void beginLast(SoakWorld world) throws InterruptedException {
		endAll(world);
		TimeUnit.MILLISECONDS.sleep(CALM_MILLIS);
		world.evacuate(SoakWorld.DATA_CENTRES.get(0));
		TimeUnit.MILLISECONDS.sleep(EvacuatedServersGetNothing.SOAK_MILLIS);
	}

	/**
	 * Ends all evacuations, also those that the store has lost or shows again since it
	 * was restored.
	 * @param world holds the data centres
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	static void endAll(SoakWorld world) throws InterruptedException {
		for (String dataCentre : SoakWorld.DATA_CENTRES) {
			world.evacuate(dataCentre);
			TimeUnit.MILLISECONDS.sleep(SEEN_MILLIS);
			world.endEvacuation(dataCentre);
		}
	}

}
