package org.snowwind.app.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.withinPercentage;

/**
 * Works out every derived figure of the capacity page from the slopes that it states.
 */
class CapacityPageTests {

	private static final Path PAGE = Path.of(System.getProperty("snowwind.root"), "docs/CAPACITY.md");

	private static final Pattern STATED = Pattern.compile("^\\| ([SN]\\d+) \\|[^|]*\\| ([\\d.]+) \\|",
			Pattern.MULTILINE);

	private static final Pattern DERIVED = Pattern.compile("^\\| ([^|]+) \\| `([^`]+)` \\| ([\\d.]+) \\|",
			Pattern.MULTILINE);

	private static Map<String, Double> stated(String page) {
		Map<String, Double> values = new LinkedHashMap<>();
		Matcher rows = STATED.matcher(page);
		while (rows.find()) {
			values.put(rows.group(1), Double.valueOf(rows.group(2)));
		}
		return values;
	}

	// Products and quotients from left to right, added up.
	private static double evaluate(String formula, Map<String, Double> stated) {
		double sum = 0;
		for (String term : formula.split("\\+")) {
			double product = 1;
			boolean divide = false;
			for (String part : term.trim().split(" ")) {
				if ("*".equals(part) || "/".equals(part)) {
					divide = "/".equals(part);
					continue;
				}
				double value = stated.containsKey(part) ? stated.get(part) : Double.parseDouble(part);
				product = divide ? product / value : product * value;
				divide = false;
			}
			sum += product;
		}
		return sum;
	}

	@Test
	void everyDerivedFigureFollowsFromTheStatedOnes() throws IOException {
		String page = Files.readString(PAGE);
		Map<String, Double> stated = stated(page);
		Matcher rows = DERIVED.matcher(page);
		int checked = 0;
		while (rows.find()) {
			double derived = evaluate(rows.group(2), stated);
			assertThat(Double.parseDouble(rows.group(3))).as(rows.group(1)).isCloseTo(derived, withinPercentage(3));
			checked++;
		}
		assertThat(stated).hasSizeGreaterThan(10);
		assertThat(checked).isGreaterThan(12);
	}

}
