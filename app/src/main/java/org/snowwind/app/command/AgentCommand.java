package org.snowwind.app.command;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import org.apache.thrift.transport.TTransportException;
import org.snowwind.agent.AgentDaemon;
import org.snowwind.app.logging.LogSetup;
import org.snowwind.config.settings.AgentSettings;
import org.snowwind.config.settings.SettingsReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs an agent.
 */
@Command(name = "agent", description = "Run the process of the slot on a backend server VM.",
		mixinStandardHelpOptions = true, footer = { "", "Example:", "  snowwind agent --check config/agent.toml" })
public final class AgentCommand implements Callable<Integer> {

	@Option(names = "--check", description = "Only check the settings and list every fault.")
	private boolean check;

	@Parameters(paramLabel = "FILE", description = "The settings, for example config/agent.toml.")
	private Path file;

	@Override
	public Integer call() {
		return DaemonCommands.run(SettingsReader.read(this.file, AgentSettings::from), this.check, AgentCommand::run);
	}

	private static int run(AgentSettings settings) {
		LogSetup.use(settings.logFormat());
		AgentDaemon daemon = new AgentDaemon(settings);
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
