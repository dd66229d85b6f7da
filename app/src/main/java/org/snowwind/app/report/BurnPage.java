package org.snowwind.app.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Renders the burn report as one page that needs nothing from elsewhere.
 */
public final class BurnPage {

	private static final int BAR_WIDTH = 6;

	private static final int BAR_HEIGHT = 60;

	private static final double PERCENT = 100;

	private static final String STYLE = """
			body{font-family:sans-serif;margin:2em;color:#222}table{border-collapse:collapse;margin-bottom:1em}
			td,th{border:1px solid #bbb;padding:4px 8px;text-align:right}th{background:#eee}
			td.text{text-align:left}tr.FAST{background:#f8c8c8}tr.SLOW{background:#fbe7bd}
			.gap{fill:#ccc}.bad{fill:#c33}.good{fill:#7b7}figcaption{font-size:90%}
			""";

	private BurnPage() {
	}

	/**
	 * Renders the page.
	 * @param report the report as the resource API gives it
	 * @return the page
	 */
	public static String render(JsonNode report) {
		StringBuilder page = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">");
		page.append("<title>Service-level burn</title><style>").append(STYLE).append("</style></head><body>");
		page.append("<h1>Service-level burn</h1><p>")
			.append(report.path("gapMinutes").asInt())
			.append(" of the last 60 minutes were observed by nobody; they are grey and count neither way.</p>");
		page.append("<table><tr><th>organisation</th><th>target</th><th>goal</th><th>attained, 3 d</th>")
			.append("<th>budget left</th><th>burn 5 m</th><th>1 h</th><th>6 h</th><th>3 d</th><th>alert</th>")
			.append("<th>top causes</th><th>worst data centre</th></tr>");
		report.path("rows").forEach((row) -> page.append(tableRow(row)));
		page.append("</table>");
		report.path("rows").forEach((row) -> page.append(plot(row)));
		return page.append("</body></html>\n").toString();
	}

	private static String tableRow(JsonNode row) {
		JsonNode burns = row.path("burns");
		return "<tr class=\"" + escape(row.path("alert").asText()) + "\">" + text(row.path("organisation").asText())
				+ text(row.path("target").asText()) + percent(row.path("targetShare"))
				+ percent(row.path("attainedShare")) + percent(row.path("budgetLeftShare")) + number(burns.path("5m"))
				+ number(burns.path("1h")) + number(burns.path("6h")) + number(burns.path("3d"))
				+ text(row.path("alert").asText()) + text(causes(row)) + text(row.path("worstDataCentre").asText())
				+ "</tr>";
	}

	private static String plot(JsonNode row) {
		StringBuilder bars = new StringBuilder();
		int minute = 0;
		for (JsonNode share : row.path("lastHour")) {
			bars.append(bar(minute, share.asDouble()));
			minute++;
		}
		return "<figure><svg width=\"" + BAR_WIDTH * minute + "\" height=\"" + BAR_HEIGHT + "\" role=\"img\">" + bars
				+ "</svg><figcaption>" + escape(row.path("organisation").asText()) + " at "
				+ escape(row.path("target").asText())
				+ ": share of bad requests in each of the last 60 minutes, newest right</figcaption></figure>";
	}

	private static String bar(int minute, double share) {
		int x = minute * BAR_WIDTH;
		if (share < 0) {
			return rect(x, 0, BAR_HEIGHT, "gap");
		}
		int bad = (int) Math.ceil(share * BAR_HEIGHT);
		return rect(x, BAR_HEIGHT - 2, 2, "good") + rect(x, BAR_HEIGHT - bad, bad, "bad");
	}

	private static String rect(int x, int y, int height, String kind) {
		return "<rect class=\"" + kind + "\" x=\"" + x + "\" y=\"" + y + "\" width=\"" + (BAR_WIDTH - 1)
				+ "\" height=\"" + height + "\"/>";
	}

	/**
	 * Lists the causes of a row.
	 * @param row the row
	 * @return causes with their counts
	 */
	public static String causes(JsonNode row) {
		List<String> causes = new ArrayList<>();
		row.path("topCauses").properties().forEach((cause) -> causes.add(cause.getKey() + " " + cause.getValue()));
		return String.join(", ", causes);
	}

	private static String text(String value) {
		return "<td class=\"text\">" + escape(value) + "</td>";
	}

	private static String percent(JsonNode share) {
		return "<td>" + String.format(Locale.ROOT, "%.2f %%", share.asDouble() * PERCENT) + "</td>";
	}

	private static String number(JsonNode value) {
		return "<td>" + String.format(Locale.ROOT, "%.2f", value.asDouble()) + "</td>";
	}

	private static String escape(String value) {
		return value.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
