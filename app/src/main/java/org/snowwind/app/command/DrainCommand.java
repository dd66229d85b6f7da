package org.snowwind.app.command;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Drains one backend server.
 */
@Command(name = "drain", description = "Let a backend server take no more work; what runs there ends.",
		mixinStandardHelpOptions = true, footer = { "", "Example:", "  snowwind drain engine-1" })
public final class DrainCommand implements Callable<Integer> {

	@Mixin
	private EntryOptions entry;

	@Parameters(paramLabel = "SERVER", description = "The name of the BackendServer.")
	private String server;

	@Override
	public Integer call() {
		return this.entry.call((client) -> client.drain(this.server), (done) -> {
			Tables.print(done.body());
			return ExitCodes.OK;
		});
	}

}
