package org.snowwind.app;

import org.snowwind.app.command.SnowwindCommand;
import org.snowwind.app.logging.LastingLogManager;

/**
 * The entry point of the binary.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs the subcommand that the arguments name.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		System.setProperty("java.util.logging.manager", LastingLogManager.class.getName());
		System.exit(SnowwindCommand.newCommandLine().execute(args));
	}

}
