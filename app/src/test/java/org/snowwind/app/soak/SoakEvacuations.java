package org.snowwind.app.soak;

import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Evacuations of data centres during a soak.
 */
final class SoakEvacuations {

	private static final long LEAST_MILLIS = 1000;

	private static final long MOST_MILLIS = 6000;

	/** The time until what is written again is seen by gateways, in milliseconds. */
	private static final long SEEN_MILLIS = 1500;

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
	 * Ends evacuations that the store has lost or shows again since it was restored.
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
