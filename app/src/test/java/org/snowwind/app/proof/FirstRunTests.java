package org.snowwind.app.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs the commands of {@code docs/operations/first-run.md} as they are written.
 */
class FirstRunTests {

	private static final Path ROOT = Path.of(System.getProperty("snowwind.root"));

	@TempDir
	private Path folder;

	private static List<String> commands(String page) throws IOException {
		List<String> blocks = new ArrayList<>();
		boolean inside = false;
		StringBuilder block = new StringBuilder();
		for (String line : Files.readAllLines(ROOT.resolve(page))) {
			if (line.startsWith("```")) {
				if (inside) {
					blocks.add(block.toString());
					block.setLength(0);
				}
				inside = !inside;
			}
			else if (inside) {
				block.append(line).append('\n');
			}
		}
		return blocks;
	}

	@Test
	void thePageRunsAsWritten() throws IOException, InterruptedException {
		List<String> blocks = commands("docs/operations/first-run.md");
		assertThat(blocks).hasSize(4);
		String waitUntilUp = "for i in $(seq 100); do curl -s http://127.0.0.1:7101/ >/dev/null && "
				+ "curl -s http://127.0.0.1:7202/livez >/dev/null && break; sleep 0.2; done\n";
		String script = blocks.get(0) + waitUntilUp + blocks.get(1) + blocks.get(2) + blocks.get(3)
				+ "kill %3 %4; wait %3 %4 2>/dev/null; kill %1 %2; wait\n";
		Path log = this.folder.resolve("first-run.log");
		Process shell = new ProcessBuilder("bash", "-m", "-c", script).directory(ROOT.toFile())
			.redirectErrorStream(true)
			.redirectOutput(log.toFile())
			.start();
		assertThat(shell.waitFor(120, TimeUnit.SECONDS)).isTrue();
		assertThat(Files.readString(log)).contains("InForce=yes")
			.contains("{\"index\":4,")
			.contains("{\"done\":true,\"tokens\":5}")
			.contains("engine-1  1")
			.contains("ModelGroup/chat generation 1")
			.contains("snowwind_requests_total{organisation=\"atlas-forme\",outcome=\"answered\"")
			.contains("\nready")
			.contains("SW-1003")
			.contains("SW-1103");
	}

}
