package org.snowwind.app;

import org.snowwind.app.command.SnowwindCommand;
import org.snowwind.app.logging.LastingLogManager;

/**
 * The entry point of the binary.
 */
public final class Main {

	/** The exit code after an error that no command handles. */
	private static final int FAULT = 70;

	private Main() {
	}

	/**
	 * Runs the subcommand that the arguments name.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
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
