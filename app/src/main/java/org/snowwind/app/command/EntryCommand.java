package org.snowwind.app.command;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.apache.thrift.transport.TTransportException;
import org.snowwind.app.logging.LogSetup;
import org.snowwind.config.settings.EntrySettings;
import org.snowwind.config.settings.SettingsReader;
import org.snowwind.entry.EntryDaemon;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs an entry.
 */
@Command(name = "entry", description = "Run the process of an entry VM.", mixinStandardHelpOptions = true,
		footer = { "", "Example:", "  snowwind entry --check config/entry.toml" })
public final class EntryCommand implements Callable<Integer> {

	@Option(names = "--check", description = "Only check the settings and list every fault.")
	private boolean check;

	@Parameters(paramLabel = "FILE", description = "The settings, for example config/entry.toml.")
	private Path file;

	@Override
	public Integer call() {
		return DaemonCommands.run(SettingsReader.read(this.file, EntrySettings::from), this.check, EntryCommand::run);
	}

	private static int run(EntrySettings settings) {
		LogSetup.use(settings.logFormat());
		EntryDaemon daemon = new EntryDaemon(settings);
		try {
			daemon.start();
		}
		catch (TTransportException ex) {
			System.err.println("cannot listen on listen.control: " + ex.getMessage());
			return ExitCodes.INVALID;
		}
		DaemonCommands.stopOnSignal(daemon::drainAndStop);
		return ExitCodes.OK;
	}

}
