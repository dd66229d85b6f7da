package org.snowwind.app;

import org.snowwind.app.command.SnowwindCommand;
import org.snowwind.app.logging.LastingLogManager;
import org.snowwind.signal.HangUpSignal;

/**
 * The entry point of the binary.
 */
public final class Main {

	/** The exit code after an error that no command handles. */
	private static final int FAULT = 70;

	/** The command whose settings are read again on SIGHUP. */
	private static final String DAEMON_WITH_RELOAD = "gateway";

	private Main() {
	}

	/**
	 * Runs the subcommand that the arguments name.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		if (args.length > 0 && DAEMON_WITH_RELOAD.equals(args[0])) {
			HangUpSignal.defer();
		}
		System.setProperty("java.util.logging.manager", LastingLogManager.class.getName());
		int exitCode = FAULT;
		try {
			exitCode = SnowwindCommand.newCommandLine().execute(args);
		}
		finally {
			// Threads of a half-started daemon must not keep the process alive.
			System.exit(exitCode);
		}
	}

}
