package org.snowwind.app.command;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Lists resources with their status.
 */
@Command(name = "get", description = "List resources with their status.", mixinStandardHelpOptions = true,
		footer = { "", "Example:", "  snowwind get BackendServer" })
public final class GetCommand implements Callable<Integer> {

	@Mixin
	private EntryOptions entry;

	@Parameters(index = "0", paramLabel = "KIND",
			description = "Organisation, ModelGroup, ExpertMap, BackendServer, Service or RoutingPolicy.")
	private String kind;

	@Parameters(index = "1", arity = "0..1", paramLabel = "NAME", description = "Only this one.")
	private String name;

	@Override
	public Integer call() {
		if (this.name != null) {
			return this.entry.call((client) -> client.get(this.kind, this.name),
					(done) -> print(done.body(), List.of(done.body())));
		}
		return this.entry.call((client) -> client.list(this.kind), (done) -> {
			List<JsonNode> items = new ArrayList<>();
			done.body().path("items").forEach(items::add);
			return print(done.body(), items);
		});
	}

	private int print(JsonNode whole, List<JsonNode> items) {
		if (this.entry.json()) {
			Tables.print(whole);
			return ExitCodes.OK;
		}
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("NAME", "GENERATION", "REVISION", "ACCEPTED", "INFORCE", "REASON"));
		items.forEach((item) -> rows.add(rowOf(item)));
		Tables.print(rows);
		return ExitCodes.OK;
	}

	private static List<String> rowOf(JsonNode item) {
		return List.of(item.path("name").asText(), item.path("generation").asText(), item.path("revision").asText(),
				Conditions.holds(item, "Accepted"), Conditions.holds(item, "InForce"),
				Conditions.reason(item, "InForce"));
	}

}
