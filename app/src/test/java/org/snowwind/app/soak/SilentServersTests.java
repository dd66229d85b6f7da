package org.snowwind.app.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that gateways keep the answers of servers that are silent for a while and then go
 * on.
 */
class SilentServersTests {

	private static final Path FOLDER = Path.of(System.getProperty("snowwind.root"), "app/target/silent-servers");

	private static final int ROUNDS = 3;

	private static final int PLAIN_CALLERS = 6;

	private static final long SILENCE_MILLIS = 1300;

	private static final long STOP_BEFORE_SILENCE_MILLIS = 500;

	private static final long LOAD_AFTER_SILENCE_MILLIS = 500;

	/** How long before its deadline a gateway ends a request, in milliseconds. */
	private static final long DEADLINE_MARGIN_MILLIS = 25;

	private final List<SilenceWorld.Stop> stops = new ArrayList<>();

	private SilenceWorld world;

	@BeforeEach
	void start(TestInfo test) throws Exception {
		String name = test.getTestMethod().orElseThrow().getName() + "-"
				+ test.getDisplayName().replaceAll("[^0-9]+", "-");
		Path folder = Files.createDirectories(FOLDER.resolve(name));
		try (Stream<Path> old = Files.list(folder)) {
			for (Path file : old.toList()) {
				Files.delete(file);
			}
		}
		this.world = new SilenceWorld(folder);
	}

	@AfterEach
	void stop() throws Exception {
		this.world.close();
	}

	private void silence(int servers, long silenceMillis) throws InterruptedException {
		this.world.pauseServers(servers);
		TimeUnit.MILLISECONDS.sleep(silenceMillis);
		this.world.resumeServers();
	}

	private void terminate(int gateway) throws InterruptedException {
		this.stops.add(this.world.terminate(gateway));
		TimeUnit.MILLISECONDS.sleep(STOP_BEFORE_SILENCE_MILLIS);
	}

	private boolean isAllowedEnd(StreamCall call) {
		long tookMillis = TimeUnit.NANOSECONDS.toMillis(call.endedNanos() - call.sentNanos());
		return tookMillis >= SilenceWorld.TIMEOUT_MILLIS - DEADLINE_MARGIN_MILLIS
				|| this.stops.stream().anyMatch((stop) -> stop.allowsCut(call));
	}

	private void assertNothingLost(String summary) throws Exception {
		Set<String> passedOn = this.world.arrivals().keySet();
		List<StreamCall> calls = this.world.calls();
		Map<String, Long> endings = calls.stream()
			.collect(Collectors.groupingBy(
					(call) -> (call.stream() ? "stream " : "plain ") + call.status() + " " + call.ending(),
					TreeMap::new, Collectors.counting()));
		List<String> lost = calls.stream()
			.filter((call) -> !call.isComplete() && passedOn.contains(call.id()) && !isAllowedEnd(call))
			.map((call) -> call.describe() + stopped(call))
			.toList();
		Files.writeString(FOLDER.resolve("summary.txt"), summary + ": " + endings + ", lost " + lost.size() + "\n",
				StandardOpenOption.CREATE, StandardOpenOption.APPEND);
		assertThat(calls.stream().filter(StreamCall::isComplete).count()).as("complete answers").isPositive();
		assertThat(lost).as("%s: %s", summary, endings).isEmpty();
	}

	private String stopped(StreamCall call) {
		return this.stops.stream()
			.filter((stop) -> stop.gateway() == call.gateway() && Math
				.abs(call.endedNanos() - stop.atNanos()) < TimeUnit.SECONDS.toNanos(SoakGateway.GRACE_SECONDS))
			.map((stop) -> ", %d ms after SIGTERM"
				.formatted(TimeUnit.NANOSECONDS.toMillis(call.endedNanos() - stop.atNanos())))
			.collect(Collectors.joining());
	}

	@Test
	void streamsAreNotCutWhenAllServersAreSilentDuringStops() throws Exception {
		this.world.startCallers(0, 0);
		for (int round = 0; round < ROUNDS; round++) {
			int gateway = round % 2;
			terminate(gateway);
			silence(SilenceWorld.SERVERS, SILENCE_MILLIS);
			this.world.restart(gateway);
		}
		this.world.stopCallers();
		assertNothingLost("all silent 1300 ms, three stops");
	}

	@ParameterizedTest
	@CsvSource({ "5, 1300, true", "10, 3000, false" })
	void answersAreKeptUntilSilentServersGoOn(int servers, long silenceMillis, boolean stop) throws Exception {
		this.world.startCallers(PLAIN_CALLERS, 0);
		if (stop) {
			terminate(0);
		}
		silence(servers, silenceMillis);
		TimeUnit.MILLISECONDS.sleep(LOAD_AFTER_SILENCE_MILLIS);
		this.world.stopCallers();
		assertNothingLost(servers + " silent " + silenceMillis + " ms" + (stop ? ", one stop" : ""));
	}

}
