package org.snowwind.app.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.app.harness.Ports;
import org.snowwind.app.harness.SnowwindProcess;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Signals to a gateway that runs as a process and cannot reach its platform.
 */
class GatewaySignalTests {

	@TempDir
	private Path folder;

	private Path settings;

	private SnowwindProcess gateway;

	private static String address() throws IOException {
		return "\"127.0.0.1:" + Ports.free() + "\"\n";
	}

	@BeforeEach
	void start() throws Exception {
		this.settings = this.folder.resolve("gateway.toml");
		Files.writeString(this.settings,
				"name = \"g\"\ndata_centre = \"dc\"\n[listen]\ncallers = " + address() + "readiness = " + address()
						+ "peers = " + address() + "admin = " + address() + "[platform]\naddress = " + address()
						+ "[stop]\ngrace_seconds = 4\n");
		this.gateway = new SnowwindProcess(this.folder.resolve("log"), "gateway", this.settings.toString());
		assertThat(this.gateway.awaitOutput("SW-1201")).isTrue();
	}

	@AfterEach
	void stop() throws IOException {
		this.gateway.close();
	}

	@Test
	void aHangUpReadsTheSettingsAgainAndEndsNothing() throws Exception {
		Files.writeString(this.settings, Files.readString(this.settings).replace("= 4", "= 5"));
		this.gateway.hangUp();
		assertThat(this.gateway.awaitOutput("\"graceMillis\":5000")).isTrue();
	}

	@Test
	void badSettingsAreRejectedAndTheLastGoodOnesStay() throws Exception {
		Files.writeString(this.settings, Files.readString(this.settings).replace("= 4", "= \"long\""));
		this.gateway.hangUp();
		assertThat(this.gateway.awaitOutput("SW-1206")).isTrue();
		this.gateway.terminate();
		assertThat(this.gateway.awaitOutput("\"graceMillis\":4000")).isTrue();
		assertThat(this.gateway.awaitEnd()).isTrue();
		assertThat(this.gateway.output()).contains("SW-1203");
	}

}
