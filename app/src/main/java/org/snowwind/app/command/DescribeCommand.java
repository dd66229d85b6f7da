package org.snowwind.app.command;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Shows one resource with what is in force in each data centre.
 */
@Command(name = "describe", description = "Show one resource, its conditions, and what is in force where.",
		mixinStandardHelpOptions = true, footer = { "", "Example:", "  snowwind describe ModelGroup chat" })
public final class DescribeCommand implements Callable<Integer> {

	@Mixin
	private EntryOptions entry;

	@Parameters(index = "0", paramLabel = "KIND", description = "The kind of resource.")
	private String kind;

	@Parameters(index = "1", paramLabel = "NAME", description = "Its name.")
	private String name;

	@Override
	public Integer call() {
		return this.entry.call((client) -> client.get(this.kind, this.name), (done) -> print(done.body()));
	}

	private int print(JsonNode resource) {
		if (this.entry.json()) {
			Tables.print(resource);
			return ExitCodes.OK;
		}
		System.out.println(resource.path("kind").asText() + "/" + resource.path("name").asText() + " generation "
				+ resource.path("generation").asText() + " revision " + resource.path("revision").asText());
		List<List<String>> conditions = new ArrayList<>();
		conditions.add(List.of("CONDITION", "HOLDS", "REASON", "REMEDY"));
		resource.path("conditions")
			.forEach((condition) -> conditions
				.add(List.of(condition.path("type").asText(), condition.path("holds").asBoolean() ? "yes" : "no",
						condition.path("reason").asText(), condition.path("remedy").asText(""))));
		Tables.print(conditions);
		List<List<String>> places = new ArrayList<>();
		places.add(List.of("DATA CENTRE", "REVISION", "HEARD MS AGO", "FURTHEST BEHIND"));
		resource.path("dataCentres")
			.forEach((place) -> places.add(List.of(place.path("dataCentre").asText(), place.path("revision").asText(),
					place.path("ageMillis").asText(), place.path("waitsFor").asText())));
		Tables.print(places);
		Tables.print(resource.path("spec"));
		return ExitCodes.OK;
	}

}
