package org.snowwind.signal;

import sun.misc.Signal;

/**
 * The signal that asks a daemon to read its settings again.
 */
public final class HangUpSignal {

	private static final String NAME = "HUP";

	private HangUpSignal() {
	}

	/**
	 * Calls back on each SIGHUP, which would end the process otherwise.
	 * @param reload called on a thread of the JDK
	 */
	public static void handle(Runnable reload) {
		Signal.handle(new Signal(NAME), (signal) -> reload.run());
	}

}
