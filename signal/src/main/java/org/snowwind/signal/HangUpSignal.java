package org.snowwind.signal;

import sun.misc.Signal;

/**
 * The signal that asks a daemon to read its settings again.
 */
public final class HangUpSignal {

	private static final String NAME = "HUP";

	private static Runnable handler;

	private static boolean deferred;

	private HangUpSignal() {
	}

	/**
	 * Defers each SIGHUP, which would end the process otherwise, until a handler is set.
	 */
	public static void defer() {
		Signal.handle(new Signal(NAME), (signal) -> onSignal());
	}

	/**
	 * Calls back on each SIGHUP. The handler is called at once, on the calling thread, if
	 * any was deferred.
	 * @param reload called on the calling thread or one of the JDK
	 */
	public static void handle(Runnable reload) {
		defer();
		if (set(reload)) {
			reload.run();
		}
	}

	private static synchronized boolean set(Runnable reload) {
		boolean due = deferred;
		handler = reload;
		deferred = false;
		return due;
	}

	private static void onSignal() {
		Runnable reload = handlerOrDefer();
		if (reload != null) {
			reload.run();
		}
	}

	private static synchronized Runnable handlerOrDefer() {
		deferred = handler == null;
		return handler;
	}

}
