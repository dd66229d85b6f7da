package org.snowwind.app.command;

import picocli.CommandLine.Command;

/**
 * Groups the reports.
 */
@Command(name = "report", description = "Reports for operators.", subcommands = ReportBurnCommand.class,
		mixinStandardHelpOptions = true, footer = { "", "Example:", "  snowwind report burn --output html" })
public final class ReportCommand {

}
