package org.snowwind.app.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.operator.OperatorAnswer;
import org.snowwind.operator.ResourceFiles;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Declares resources.
 */
@Command(name = "apply", description = "Declare resources from files; checked as a whole, written one by one.",
		mixinStandardHelpOptions = true,
		footer = { "", "Example:", "  snowwind apply -f config/resources.toml --dry-run" })
public final class ApplyCommand implements Callable<Integer> {

	@Mixin
	private EntryOptions entry;

	@Option(names = { "-f", "--file" }, required = true, paramLabel = "FILE",
			description = "TOML or JSON with [[resource]] tables; may be given several times.")
	private List<Path> files;

	@Option(names = "--dry-run", description = "Only check and show what would change.")
	private boolean dryRun;

	@Override
	public Integer call() {
		try {
			List<JsonNode> resources = ResourceFiles.read(this.files);
			return this.entry.call((client) -> client.apply(resources, this.dryRun),
					(done) -> printResults(this.entry, done));
		}
		catch (IOException ex) {
			System.err.println(ex.getMessage());
			return ExitCodes.INVALID;
		}
	}

	static int printResults(EntryOptions options, OperatorAnswer.Done done) {
		if (options.json()) {
			Tables.print(done.body());
		}
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("RESOURCE", "RESULT", "REVISION", "CHANGED", "MESSAGE"));
		int worst = ExitCodes.OK;
		for (JsonNode result : done.body().path("results")) {
			String outcome = result.path("result").asText();
			rows.add(List.of(result.path("kind").asText() + "/" + result.path("name").asText(), outcome,
					result.path("revision").asText(), joined(result.path("changedFields")),
					joined(result.path("messages"))));
			worst = Math.max(worst, exitCode(outcome));
		}
		if (!options.json()) {
			Tables.print(rows);
		}
		return worst;
	}

	private static int exitCode(String result) {
		return switch (result) {
			case "INVALID", "SKIPPED" -> ExitCodes.INVALID;
			case "CONFLICT" -> ExitCodes.CONFLICT;
			case "NOT_WRITTEN", "UNCERTAIN" -> ExitCodes.UNREACHABLE;
			default -> ExitCodes.OK;
		};
	}

	private static String joined(JsonNode texts) {
		List<String> all = new ArrayList<>();
		texts.forEach((text) -> all.add(text.asText()));
		return String.join("; ", all);
	}

}
