package org.snowwind.model.duty;

import java.util.concurrent.TimeUnit;

/**
 * Waits on threads that may wait.
 */
public final class Pause {

	private Pause() {
	}

	/**
	 * Waits, or less if the thread is interrupted, which stays noted on the thread.
	 * @param millis how long, in milliseconds
	 */
	public static void millis(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
