package org.snowwind.app.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Callable;

import org.snowwind.app.explain.PeriodStory;
import org.snowwind.app.explain.RequestStory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Tells the life of one request, or why those of a period were lost, from log lines on
 * standard input.
 */
@Command(name = "explain",
		description = "Tell the life of one request, or why those of a period were lost, from the log lines of all processes.",
		mixinStandardHelpOptions = true,
		footer = { "", "Examples:", "  cat logs/*.json | snowwind explain 9c41d07be2a35f68",
				"  cat logs/*.json | snowwind explain --from 2026-02-27T08:49:00Z --until 2026-02-27T08:49:30Z" })
public final class ExplainCommand implements Callable<Integer> {

	@Spec
	private CommandSpec spec;

	@Parameters(paramLabel = "ID", arity = "0..1", description = "The request's id, as its caller sent it.")
	private String requestId;

	@Option(names = "--from", paramLabel = "TIME", description = "The begin of a period, such as 2026-02-27T08:49:00Z.")
	private Instant from;

	@Option(names = "--until", paramLabel = "TIME", description = "The end of the period.")
	private Instant until;

	@Override
	public Integer call() throws IOException {
		boolean period = this.from != null && this.until != null;
		if (period == (this.requestId != null)) {
			throw new ParameterException(this.spec.commandLine(),
					"Give either a request's id, or both --from and --until.");
		}
		BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
		return period ? explainPeriod(lines) : explainRequest(lines);
	}

	private int explainPeriod(BufferedReader lines) {
		PeriodStory.of(lines.lines().toList(), this.from, this.until).render().forEach(System.out::println);
		return ExitCodes.OK;
	}

	private int explainRequest(BufferedReader lines) {
		List<String> logged = lines.lines().filter((line) -> line.contains(this.requestId)).toList();
		RequestStory story = RequestStory.of(this.requestId, logged);
		story.render().forEach(System.out::println);
		return story.known() ? ExitCodes.OK : ExitCodes.MISSED;
	}

}
