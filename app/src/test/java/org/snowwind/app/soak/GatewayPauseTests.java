package org.snowwind.app.soak;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.app.harness.SnowwindProcess;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A gateway does not take a pause of its own for the silence of servers that kept
 * sending.
 */
class GatewayPauseTests {

	private static final int GATEWAYS = 2;

	private static final int STREAMS = 16;

	/** Longer than the longest silence of a server in a stream. */
	private static final long PAUSE_MILLIS = 1300;

	private static final long STREAMING_MILLIS = 900;

	private FleetUnderLoad fleet;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.fleet = new FleetUnderLoad(folder, GATEWAYS);
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	private void pause(SnowwindProcess process) throws Exception {
		process.freeze();
		TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
		process.thaw();
	}

	private List<Call> streamsAcrossPauses(int pauses) throws Exception {
		SoakGateway paused = this.fleet.world().gateways().get(0);
		List<CompletableFuture<Call>> sent = new ArrayList<>();
		for (int i = 0; i < STREAMS; i++) {
			sent.add(this.fleet.send(paused, CallKind.LONG));
		}
		for (int i = 0; i < pauses; i++) {
			TimeUnit.MILLISECONDS.sleep(STREAMING_MILLIS);
			pause(paused.process());
		}
		List<Call> ended = new ArrayList<>();
		for (CompletableFuture<Call> call : sent) {
			ended.add(call.get());
		}
		return ended;
	}

	private void assertNothingTakenForSilence(List<Call> calls) throws Exception {
		List<String> lines = this.fleet.world().gateways().get(0).process().output().lines().toList();
		assertThat(lines).as("attempts taken for silent, servers ejected, groups closed")
			.noneMatch((line) -> line.contains("SW-4103") && line.contains("\"cause\":\"silent\""))
			.noneMatch((line) -> line.contains("SW-4119"))
			.noneMatch((line) -> line.contains("SW-3008"))
			.noneMatch((line) -> line.contains("SW-3010"));
		assertThat(calls.stream().filter((call) -> !call.served()).map(Call::describe)).as("streams cut off").isEmpty();
	}

	@Test
	void streamsOfServersThatKeepSendingAreNotCutOffByAPauseOfTheGateway() throws Exception {
		assertNothingTakenForSilence(streamsAcrossPauses(1));
	}

	@Test
	void streamsOfServersThatKeepSendingAreNotCutOffByPausesInSeries() throws Exception {
		assertNothingTakenForSilence(streamsAcrossPauses(2));
	}

}
