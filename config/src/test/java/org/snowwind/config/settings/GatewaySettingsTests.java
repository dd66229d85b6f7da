package org.snowwind.config.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GatewaySettings}, with the template that the platform fills in and the
 * example for people.
 */
class GatewaySettingsTests {

	private static final Path ROOT = Path.of(System.getProperty("snowwind.root"));

	private static final Map<String, String> VALUES = Map.ofEntries(Map.entry("{{node|json}}", "\"front-1\""),
			Map.entry("{{zone|json}}", "\"hall\""), Map.entry("{{listen.front|json}}", "\"10.1.0.40:8227\""),
			Map.entry("{{listen.ready|json}}", "\"10.1.0.40:8220\""),
			Map.entry("{{listen.control|json}}", "\"10.1.0.40:8229\""), Map.entry("{{ip}}", "10.1.0.40"),
			Map.entry("{{seeds|json}}", "[\"10.2.0.29:8229\"]"),
			Map.entry("{{platform.address|json}}", "\"10.200.1.7:8223\""), Map.entry("{{bounds.graceS}}", "8"),
			Map.entry("{{bounds.budgetRatio}}", "0.2"), Map.entry("{{bounds.budgetExtra}}", "92"),
			Map.entry("{{bounds.budgetWindowS}}", "10"), Map.entry("{{bounds.drainMs}}", "2000"),
			Map.entry("{{bounds.configMs}}", "3000"), Map.entry("{{bounds.stableWindowMs}}", "4000"),
			Map.entry("{{platform.historyS}}", "21"), Map.entry("{{limits.memoryMb}}", "330"),
			Map.entry("{{bounds.evacuationMs}}", "6000"), Map.entry("{{bounds.coldOver}}", "1.5"),
			Map.entry("{{bounds.coldSlack}}", "5"));

	@TempDir
	private Path folder;

	private SettingsResult<GatewaySettings> read(String text) throws IOException {
		Path file = this.folder.resolve("gateway.toml");
		Files.writeString(file, text);
		return SettingsReader.read(file, GatewaySettings::from);
	}

	private static String template(String features) throws IOException {
		String text = Files.readString(ROOT.resolve("platform/gateway.toml"))
			.replace("{{contracts|json}}", features)
			.replaceAll("\\{\\{[#/][A-Za-z.]+}}\n", "");
		for (Map.Entry<String, String> value : VALUES.entrySet()) {
			text = text.replace(value.getKey(), value.getValue());
		}
		return text;
	}

	@Test
	void theTemplateOfThePlatformIsValidOnceFilledIn() throws IOException {
		GatewaySettings settings = read(template("[\"base\"]")).match((valid) -> valid, (faults) -> {
			throw new AssertionError(faults);
		});
		assertThat(settings.graceMillis()).isEqualTo(8000);
		assertThat(settings.retryFraction()).isEqualTo(0.2);
		assertThat(settings.retryExtra()).isEqualTo(92);
		assertThat(settings.seeds()).hasSize(1);
		assertThat(settings.inForceMillis()).isEqualTo(3000);
		assertThat(settings.stableMillis()).isEqualTo(4000);
		assertThat(settings.historyMillis()).isEqualTo(21_000);
		assertThat(template("[\"base\"]")).doesNotContain("{{");
	}

	@Test
	void featuresThatTheDeploymentDoesNotAskForAreOff() throws IOException {
		OptionalFeatures features = read(template("[\"base\", \"experts\"]")).match(GatewaySettings::features,
				(faults) -> null);
		assertThat(features).isEqualTo(OptionalFeatures.NONE);
	}

	@Test
	void featuresThatTheDeploymentAsksForHaveItsBounds() throws IOException {
		OptionalFeatures features = read(template("[\"places\", \"pressure\"]")).match(GatewaySettings::features,
				(faults) -> null);
		assertThat(features).isEqualTo(new OptionalFeatures(6000, 1.5, 5, 330));
	}

	@Test
	void featuresThatAreNoListOfTextsAreAFault() throws IOException {
		List<SettingsFault> faults = read(template("[1]")).match((valid) -> List.of(), (found) -> found);
		assertThat(faults).extracting(SettingsFault::key).contains("features");
	}

	@Test
	void theExampleIsValid() {
		boolean valid = SettingsReader.read(ROOT.resolve("config/gateway.toml"), GatewaySettings::from)
			.match((settings) -> true, (faults) -> false);
		assertThat(valid).isTrue();
	}

	@Test
	void everyFaultIsListedAtOnce() throws IOException {
		String broken = template("[\"base\"]").replace("fraction = 0.2", "fraction = \"some\"")
			.replace("grace_seconds = 8", "grace_seconds = 0") + "\nnonsense = 1\n";
		List<SettingsFault> faults = read(broken).match((valid) -> List.of(), (found) -> found);
		assertThat(faults).extracting(SettingsFault::key)
			.contains("retries.fraction", "stop.grace_seconds", "log.nonsense");
	}

}
