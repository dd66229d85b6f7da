package org.snowwind.app.command;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Follows the status of one resource.
 */
@Command(name = "watch", description = "Follow the status of a resource, for ever or until a condition holds.",
		mixinStandardHelpOptions = true,
		footer = { "", "Example:", "  snowwind watch ModelGroup chat --until InForce --timeout 10" })
public final class WatchCommand implements Callable<Integer> {

	private static final long POLL_MILLIS = 200;

	@Mixin
	private EntryOptions entry;

	@Parameters(index = "0", paramLabel = "KIND", description = "The kind of resource.")
	private String kind;

	@Parameters(index = "1", paramLabel = "NAME", description = "Its name.")
	private String name;

	@Option(names = "--until", paramLabel = "CONDITION", description = "Accepted, InForce or Degraded.")
	private String until;

	@Option(names = "--timeout", paramLabel = "SECONDS", description = "Give up after so long; default: never.",
			defaultValue = "0")
	private long timeoutSeconds;

	private String lastLine = "";

	@Override
	public Integer call() throws InterruptedException {
		long startNanos = System.nanoTime();
		while (true) {
			int result = this.entry.call((client) -> client.get(this.kind, this.name), (done) -> show(done.body()));
			boolean reached = this.until != null && result == ExitCodes.OK;
			if (reached || result > ExitCodes.MISSED) {
				return result;
			}
			long elapsedNanos = System.nanoTime() - startNanos;
			if (this.timeoutSeconds > 0 && elapsedNanos > TimeUnit.SECONDS.toNanos(this.timeoutSeconds)) {
				System.err.println("not reached within " + this.timeoutSeconds + " s");
				return ExitCodes.MISSED;
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
	}

	private int show(JsonNode resource) {
		String line = "revision " + resource.path("revision").asText() + " Accepted="
				+ Conditions.holds(resource, "Accepted") + " InForce=" + Conditions.holds(resource, "InForce") + " ("
				+ Conditions.reason(resource, "InForce") + ")";
		if (!line.equals(this.lastLine)) {
			this.lastLine = line;
			if (this.entry.json()) {
				Tables.print(resource);
			}
			else {
				System.out.println(line);
			}
		}
		boolean holds = this.until != null && "yes".equals(Conditions.holds(resource, this.until));
		return holds ? ExitCodes.OK : ExitCodes.MISSED;
	}

}
