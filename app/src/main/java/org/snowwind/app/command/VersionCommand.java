package org.snowwind.app.command;

import java.util.Optional;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/**
 * Prints the version.
 */
@Command(name = "version", description = "Print the version.", mixinStandardHelpOptions = true)
public final class VersionCommand implements Callable<Integer> {

	@Override
	public Integer call() {
		System.out.println(new Provider().getVersion()[0]);
		return ExitCodes.OK;
	}

	/**
	 * Reads the version from the jar.
	 */
	public static final class Provider implements IVersionProvider {

		@Override
		public String[] getVersion() {
			String version = VersionCommand.class.getPackage().getImplementationVersion();
			String shown = Optional.ofNullable(version).orElse("development");
			return new String[] { "snowwind " + shown + " on Java " + Runtime.version().feature() };
		}

	}

}
