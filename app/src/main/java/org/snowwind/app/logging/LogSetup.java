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

	private LogSetup() {
	}

	/**
	 * Takes over logging.
	 * @param format how lines look
	 */
	public static void use(LogFormat format) {
		Logger root = Logger.getLogger("");
		for (Handler standing : root.getHandlers()) {
			root.removeHandler(standing);
		}
		LIBRARIES.setLevel(Level.OFF);
		Handler handler = new FlushingHandler();
		handler.setLevel(Level.INFO);
		Formatter lines = switch (format) {
			case TEXT -> new TextLines();
			case JSON -> new JsonLines();
		};
		handler.setFormatter(lines);
		root.addHandler(handler);
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
