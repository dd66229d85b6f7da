package org.snowwind.app.logging;

import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

import org.snowwind.config.settings.LogFormat;

/**
 * Sends log lines to standard error in the format that the settings name.
 */
public final class LogSetup {

	/** Kept so that the level of chatty libraries is not forgotten with their loggers. */
	private static final Logger LIBRARIES = Logger.getLogger("org.apache.thrift");

	/**
	 * A gateway at its planned peak logs some hundred lines a second; the ring holds some
	 * seconds of them.
	 */
	private static final int RING_LINES = 2048;

	private LogSetup() {
	}

	/**
	 * Takes over logging to standard error.
	 * @param format how lines look
	 */
	public static void use(LogFormat format) {
		Handler handler = new FlushingHandler();
		handler.setFormatter(linesOf(format));
		use(handler);
	}

	/**
	 * Takes over logging to standard output through a bounded ring that never makes the
	 * logging thread wait.
	 * @param format how lines look
	 */
	public static void useRing(LogFormat format) {
		use(new RingHandler(System.out, linesOf(format), RING_LINES));
	}

	/**
	 * Writes what still waits, before the process ends.
	 */
	public static void finish() {
		for (Handler handler : Logger.getLogger("").getHandlers()) {
			handler.close();
		}
	}

	private static void use(Handler handler) {
		Logger root = Logger.getLogger("");
		for (Handler standing : root.getHandlers()) {
			root.removeHandler(standing);
		}
		LIBRARIES.setLevel(Level.OFF);
		handler.setLevel(Level.INFO);
		root.addHandler(handler);
	}

	private static Formatter linesOf(LogFormat format) {
		return switch (format) {
			case TEXT -> new TextLines();
			case JSON -> new JsonLines();
		};
	}

	/**
	 * Takes over logging and keeps to warnings, for commands that print a result.
	 */
	public static void quiet() {
		use(LogFormat.TEXT);
		Logger.getLogger("").setLevel(Level.SEVERE);
	}

	private static final class FlushingHandler extends StreamHandler {

		private FlushingHandler() {
			super(System.err, new TextLines());
		}

		@Override
		public synchronized void publish(java.util.logging.LogRecord line) {
			super.publish(line);
			flush();
		}

	}

}
