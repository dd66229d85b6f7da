package org.snowwind.app.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.snowwind.model.event.Event;

import static org.assertj.core.api.Assertions.assertThat;

class EventCatalogueTests {

	private static final Path ROOT = Path.of(System.getProperty("snowwind.root"));

	private static final Pattern HEADING = Pattern.compile("^\\| (SW-\\d{4}) \\| (\\w+) \\| ([^|]+) \\|",
			Pattern.MULTILINE);

	@Test
	void theCatalogueAndTheCodeNameTheSameEvents() throws IOException {
		Set<String> documented = new HashSet<>();
		Matcher rows = HEADING.matcher(Files.readString(ROOT.resolve("docs/events.md")));
		while (rows.find()) {
			documented.add(rows.group(1) + " " + rows.group(2) + " " + rows.group(3).trim());
		}
		List<String> coded = Stream.of(Event.values())
			.map((event) -> event.id() + " " + event.level().getName() + " " + event.summary())
			.toList();
		assertThat(documented).containsExactlyInAnyOrderElementsOf(coded);
	}

	@Test
	void everyEventIsLoggedSomewhere() throws IOException {
		StringBuilder sources = new StringBuilder();
		try (Stream<Path> files = Files.walk(ROOT)) {
			for (Path file : files.filter((path) -> path.toString().contains("/src/main/java/"))
				.filter(Files::isRegularFile)
				.toList()) {
				sources.append(Files.readString(file));
			}
		}
		String code = sources.toString();
		for (Event event : Event.values()) {
			assertThat(code).contains("Event." + event.name());
		}
	}

	@Test
	void numbersAreUnique() {
		assertThat(Stream.of(Event.values()).map(Event::id)).doesNotHaveDuplicates();
	}

}
