package org.snowwind.config.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BuiltInChecksTests {

	private static final Path ROOT = Path.of(System.getProperty("snowwind.root"));

	@Test
	void everyCheckHasItsPageAndItsTests() {
		for (ResourceCheck check : BuiltInChecks.ALL) {
			String name = check.getClass().getSimpleName();
			assertThat(ROOT.resolve("docs/checks/" + name + ".md")).exists();
			assertThat(ROOT.resolve("config/src/test/java/org/snowwind/config/check/" + name + "Tests.java")).exists();
		}
	}

	@Test
	void everyCheckIsRegistered() throws IOException {
		Path sources = ROOT.resolve("config/src/main/java/org/snowwind/config/check");
		List<String> registered = BuiltInChecks.ALL.stream().map((check) -> check.getClass().getSimpleName()).toList();
		try (Stream<Path> files = Files.list(sources)) {
			List<String> written = files.filter((file) -> isCheck(file))
				.map((file) -> file.getFileName().toString().replace(".java", ""))
				.toList();
			assertThat(registered).containsExactlyInAnyOrderElementsOf(written);
		}
	}

	private static boolean isCheck(Path file) {
		try {
			return Files.readString(file).contains(" implements ResourceCheck ");
		}
		catch (IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
	}

	@Test
	void everyPageStatesTheSummary() throws IOException {
		for (ResourceCheck check : BuiltInChecks.ALL) {
			CheckSummary summary = check.getClass().getAnnotation(CheckSummary.class);
			String page = Files.readString(ROOT.resolve("docs/checks/" + check.getClass().getSimpleName() + ".md"));
			assertThat(page).contains(summary.value());
		}
	}

}
