package org.snowwind.app.command;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.app.report.BurnPage;
import org.snowwind.operator.OperatorClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Reports how fast each organisation's service-level budget is used up.
 */
@Command(name = "burn", description = "Service-level burn of each organisation and target.",
		mixinStandardHelpOptions = true, footer = { "", "Exits with 1 while an alert is on.", "", "Example:",
				"  snowwind report burn --output html > burn.html" })
public final class ReportBurnCommand implements Callable<Integer> {

	private static final String NO_ALERT = "NONE";

	@Mixin
	private EntryConnection connection;

	@Option(names = "--output", description = "${COMPLETION-CANDIDATES}; default: ${DEFAULT-VALUE}.",
			defaultValue = "table")
	private Output output;

	@Override
	public Integer call() {
		return this.connection.call(OperatorClient::burn, (done) -> print(done.body()));
	}

	private int print(JsonNode report) {
		switch (this.output) {
			case TABLE -> table(report);
			case JSON -> Tables.print(report);
			case HTML -> System.out.print(BurnPage.render(report));
		}
		for (JsonNode row : report.path("rows")) {
			if (!NO_ALERT.equals(row.path("alert").asText())) {
				return ExitCodes.MISSED;
			}
		}
		return ExitCodes.OK;
	}

	private static void table(JsonNode report) {
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("ORGANISATION", "TARGET", "GOAL", "ATTAINED", "BUDGET LEFT", "5m", "1h", "6h", "3d", "ALERT",
				"TOP CAUSES", "WORST DC"));
		for (JsonNode row : report.path("rows")) {
			JsonNode burns = row.path("burns");
			rows.add(List.of(row.path("organisation").asText(), row.path("target").asText(),
					percent(row.path("targetShare")), percent(row.path("attainedShare")),
					percent(row.path("budgetLeftShare")), burn(burns, "5m"), burn(burns, "1h"), burn(burns, "6h"),
					burn(burns, "3d"), row.path("alert").asText(), BurnPage.causes(row),
					row.path("worstDataCentre").asText()));
		}
		Tables.print(rows);
		System.out.println("gaps: " + report.path("gapMinutes").asInt()
				+ " of the last 60 minutes were observed by nobody and count neither as good nor as bad");
	}

	private static String percent(JsonNode share) {
		return String.format(java.util.Locale.ROOT, "%.2f%%", share.asDouble() * 100);
	}

	private static String burn(JsonNode burns, String window) {
		return String.format(java.util.Locale.ROOT, "%.2f", burns.path(window).asDouble());
	}

	/**
	 * The forms of output.
	 */
	enum Output {

		/** Columns for people. */
		TABLE,

		/** JSON for programs. */
		JSON,

		/** One page with plots. */
		HTML

	}

}
