package org.snowwind.config.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.UnaryOperator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsReaderTests {

	private static final Path CONFIG = Path.of(System.getProperty("snowwind.root"), "config");

	@TempDir
	private Path folder;

	private List<SettingsFault> faults(String sample, UnaryOperator<String> change) throws IOException {
		Path file = this.folder.resolve(sample);
		Files.writeString(file, change.apply(Files.readString(CONFIG.resolve(sample))));
		SettingsResult<?> result = "entry.toml".equals(sample) ? SettingsReader.read(file, EntrySettings::from)
				: SettingsReader.read(file, AgentSettings::from);
		return result.match((valid) -> List.of(), (faults) -> faults);
	}

	@Test
	void theSamplesAreValid() throws IOException {
		assertThat(faults("entry.toml", (text) -> text)).isEmpty();
		assertThat(faults("agent.toml", (text) -> text)).isEmpty();
	}

	@Test
	void everyFaultIsListedAtOnce() throws IOException {
		List<SettingsFault> faults = faults("entry.toml",
				(text) -> text.replace("heartbeat_millis = 500", "heartbeat_milis = 500")
					.replace("\"127.0.0.1:7101\"", "\"localhost:7101\"")
					.replace("format = \"text\"", "format = \"xml\""));
		assertThat(faults).extracting(SettingsFault::key)
			.containsExactlyInAnyOrder("listen.operators", "log.format", "timing.heartbeat_milis");
	}

	@Test
	void anUnknownKeyNamesTheNearestKnownOne() throws IOException {
		List<SettingsFault> faults = faults("entry.toml",
				(text) -> text.replace("heartbeat_millis = 500", "heartbeat_milis = 500"));
		assertThat(faults).singleElement()
			.extracting(SettingsFault::remedy)
			.isEqualTo("did you mean timing.heartbeat_millis?");
	}

	@Test
	void aNumberOutOfRangeNamesItsRange() throws IOException {
		assertThat(faults("agent.toml", (text) -> text.replace("start_concurrency = 16", "start_concurrency = 0")))
			.singleElement()
			.extracting(SettingsFault::allowed)
			.isEqualTo("a whole number from 1 to 10000");
	}

	@Test
	void faultsInTablesNameTheTable() throws IOException {
		assertThat(faults("agent.toml", (text) -> text.replace("kind = \"engine\"", "kind = \"motor\"")))
			.singleElement()
			.extracting(SettingsFault::key)
			.isEqualTo("backend[0].kind");
	}

	@Test
	void aBrokenFileIsOneFault() throws IOException {
		assertThat(faults("entry.toml", (text) -> "name = ")).hasSize(1);
	}

	@Test
	void anAgentWithoutBackEndsIsAFault() throws IOException {
		assertThat(faults("agent.toml", (text) -> text.substring(0, text.indexOf("[[backend]]")))).singleElement()
			.extracting(SettingsFault::key)
			.isEqualTo("backend");
	}

}
