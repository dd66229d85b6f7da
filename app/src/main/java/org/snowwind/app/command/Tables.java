package org.snowwind.app.command;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.model.Json;
import picocli.CommandLine.Help.Ansi;
import picocli.CommandLine.Help.ColorScheme;
import picocli.CommandLine.Help.Column;
import picocli.CommandLine.Help.TextTable;

/**
 * Prints columns and JSON.
 */
public final class Tables {

	private static final int GAP = 2;

	private Tables() {
	}

	/**
	 * Prints rows in columns as wide as they need to be.
	 * @param rows the rows, the first being the heading
	 */
	public static void print(List<List<String>> rows) {
		int columns = rows.get(0).size();
		Column[] widths = new Column[columns];
		for (int column = 0; column < columns; column++) {
			int place = column;
			int width = rows.stream().mapToInt((row) -> row.get(place).length()).max().orElse(0);
			widths[column] = new Column(width + GAP, 0, Column.Overflow.SPAN);
		}
		TextTable table = TextTable.forColumns(new ColorScheme.Builder(Ansi.OFF).build(), widths);
		rows.forEach((row) -> table.addRowValues(row.toArray(String[]::new)));
		System.out.print(table);
	}

	/**
	 * Prints JSON on several lines.
	 * @param json what to print
	 */
	public static void print(JsonNode json) {
		try {
			System.out.println(Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(json));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a JSON tree always serializes", ex);
		}
	}

}
