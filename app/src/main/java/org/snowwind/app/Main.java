package org.snowwind.app;

import org.snowwind.app.command.SnowwindCommand;

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
		System.exit(SnowwindCommand.newCommandLine().execute(args));
	}

}
