package org.snowwind.app.soak;

import java.util.Random;

/**
 * One kind of fault, which begins and heals by itself.
 */
@FunctionalInterface
interface SoakFault {

	/**
	 * Begins the fault and sees to its end.
	 * @param world what it touches
	 * @param random decides whom it touches and for how long
	 * @param later carries out what is due later
	 * @throws Exception if it cannot be brought about
	 */
	void begin(SoakWorld world, Random random, Later later) throws Exception;

	/**
	 * Carries out what is due later.
	 */
	interface Later {

		/**
		 * Carries out some work.
		 * @param millis in how long, in milliseconds
		 * @param work the work
		 */
		void after(long millis, Work work);

	}

	/**
	 * Work that may fail.
	 */
	@FunctionalInterface
	interface Work {

		/**
		 * Does it.
		 * @throws Exception if it fails
		 */
		void run() throws Exception;

	}

}
