package org.snowwind.app.command;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command without a subcommand.
 */
@Command(name = "snowwind", description = "A load balancer for expert-parallel model groups.",
		subcommands = { EntryCommand.class, AgentCommand.class, GatewayCommand.class, ApplyCommand.class,
				GetCommand.class, WatchCommand.class, DescribeCommand.class, DeleteCommand.class, DrainCommand.class,
				SuspectsCommand.class, EvacuationsCommand.class, ReportCommand.class, ExplainCommand.class,
				TryCommand.class, MeasureCommand.class, StandInCommand.class, VersionCommand.class,
				CommandLine.HelpCommand.class, AutoComplete.GenerateCompletion.class },
		mixinStandardHelpOptions = true, versionProvider = VersionCommand.Provider.class,
		exitCodeListHeading = "%nExit codes:%n",
		exitCodeList = { "0:done", "1:a promise broken, a target missed, or a condition not reached in time",
				"2:wrong usage, settings or resources", "3:somebody else changed the resource meanwhile",
				"4:the entry or the platform did not answer", "5:the credential was refused" },
		footer = { "", "Examples:", "  snowwind try", "  snowwind entry config/entry.toml",
				"  snowwind apply -f config/resources.toml",
				"  snowwind watch ModelGroup chat --until InForce --timeout 10",
				"  source <(snowwind generate-completion)" })
public final class SnowwindCommand implements Runnable {

	@CommandLine.Spec
	private CommandLine.Model.CommandSpec spec;

	/**
	 * Creates the whole command line.
	 * @return a command line that can be executed
	 */
	public static CommandLine newCommandLine() {
		return new CommandLine(new SnowwindCommand()).setCaseInsensitiveEnumValuesAllowed(true);
	}

	@Override
	public void run() {
		this.spec.commandLine().usage(System.out);
	}

}
