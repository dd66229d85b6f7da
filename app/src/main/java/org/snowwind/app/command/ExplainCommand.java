package org.snowwind.app.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;

import org.snowwind.app.explain.RequestStory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Tells the life of one request from log lines on standard input.
 */
@Command(name = "explain", description = "Tell the life of one request from the log lines of all processes.",
		mixinStandardHelpOptions = true,
		footer = { "", "Example:", "  cat logs/*.json | snowwind explain 9c41d07be2a35f68" })
public final class ExplainCommand implements Callable<Integer> {

	@Parameters(paramLabel = "ID", description = "The request's id, as its caller sent it.")
	private String requestId;

	@Override
	public Integer call() throws IOException {
		BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
		List<String> logged = lines.lines().filter((line) -> line.contains(this.requestId)).toList();
		RequestStory story = RequestStory.of(this.requestId, logged);
		story.render().forEach(System.out::println);
		return story.known() ? ExitCodes.OK : ExitCodes.MISSED;
	}

}
