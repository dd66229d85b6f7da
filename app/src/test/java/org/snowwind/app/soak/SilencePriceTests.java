package org.snowwind.app.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Measures what a silence of servers costs callers. Run by hand with
 * {@code -Dsnowwind.silence.rounds=1}; the lines also go to
 * {@code app/target/silence-price/summary.txt}.
 */
class SilencePriceTests {

	private static final Path FOLDER = Path.of(System.getProperty("snowwind.root"), "app/target/silence-price");

	private static final List<Integer> SILENT_SERVERS = List.of(1, 5, 10);

	/** Stands for a silence that does not end. */
	private static final long NEVER = 0;

	private static final List<Long> SILENCES_MILLIS = List.of(1300L, 3000L, NEVER);

	private static final long LOAD_MILLIS = 6000;

	private static final long LONG_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

	@ParameterizedTest
	@ValueSource(ints = { 0, 2000 })
	void silencesByHandAreMeasured(int maxPauseMillis) throws Exception {
		int rounds = Integer.getInteger("snowwind.silence.rounds", 0);
		for (int round = 0; round < rounds; round++) {
			for (long silenceMillis : SILENCES_MILLIS) {
				for (int servers : SILENT_SERVERS) {
					measure(servers, silenceMillis, maxPauseMillis);
				}
			}
		}
	}

	private static void measure(int servers, long silenceMillis, int maxPauseMillis) throws Exception {
		String cell = "%d of %d silent, %s, callers %s".formatted(servers, SilenceWorld.SERVERS,
				(silenceMillis == NEVER) ? "never back" : "back after " + silenceMillis + " ms",
				(maxPauseMillis > 0) ? "leave after " + maxPauseMillis + " ms" : "stay");
		Path folder = Files.createDirectories(FOLDER.resolve(cell.replaceAll("[^0-9a-z]+", "-")));
		try (SilenceWorld world = new SilenceWorld(folder)) {
			world.startCallers(0, maxPauseMillis);
			long beganNanos = System.nanoTime();
			world.pauseServers(servers);
			if (silenceMillis != NEVER) {
				TimeUnit.MILLISECONDS.sleep(silenceMillis);
				world.resumeServers();
			}
			TimeUnit.NANOSECONDS.sleep(beganNanos + TimeUnit.MILLISECONDS.toNanos(LOAD_MILLIS) - System.nanoTime());
			world.stopCallers();
			List<StreamCall> calls = world.calls()
				.stream()
				.filter((call) -> (call.secondTry() ? call.sentNanos() : call.endedNanos()) > beganNanos)
				.toList();
			String line = cell + ": " + describe(calls, world.arrivals());
			System.out.println("price of silence: " + line);
			Files.writeString(FOLDER.resolve("summary.txt"), line + "\n", StandardOpenOption.CREATE,
					StandardOpenOption.APPEND);
			assertThat(calls).as(cell).isNotEmpty();
		}
	}

	private static String describe(List<StreamCall> all, Map<String, Long> arrivals) {
		List<StreamCall> calls = all.stream().filter((call) -> !call.secondTry()).toList();
		List<StreamCall> secondTries = all.stream().filter(StreamCall::secondTry).toList();
		Map<Integer, Long> errors = calls.stream()
			.filter((call) -> call.status() != 200 && call.ending() == StreamCall.Ending.WHOLE)
			.collect(Collectors.groupingBy(StreamCall::status, TreeMap::new, Collectors.counting()));
		long[] pausesMillis = calls.stream()
			.mapToLong((call) -> TimeUnit.NANOSECONDS.toMillis(call.pauseNanos()))
			.sorted()
			.toArray();
		double toldMillis = all.stream()
			.filter((call) -> !call.isComplete() && call.ending() != StreamCall.Ending.LEFT)
			.mapToLong((call) -> TimeUnit.NANOSECONDS.toMillis(call.endedNanos() - call.lastEventNanos()))
			.average()
			.orElse(0);
		long sends = all.stream().mapToLong((call) -> arrivals.getOrDefault(call.id(), 0L)).sum();
		long passedOn = all.stream().filter((call) -> arrivals.containsKey(call.id())).count();
		return ("streams %d, complete %d (%d with a pause over 2 s), cut after events %d, no answer %d, wrong %d, "
				+ "errors %s, left %d, second tries %d (complete %d), pause median %d worst %d ms, "
				+ "arrivals per request %.3f, told after %.0f ms")
			.formatted(calls.size(), count(calls, StreamCall::isComplete),
					count(calls, (call) -> call.isComplete() && call.pauseNanos() > LONG_PAUSE_NANOS),
					count(calls, (call) -> call.status() != 0 && call.ending() == StreamCall.Ending.CUT),
					count(calls, (call) -> call.status() == 0 && call.ending() == StreamCall.Ending.CUT),
					count(calls, (call) -> call.ending() == StreamCall.Ending.WRONG), errors,
					count(calls, (call) -> call.ending() == StreamCall.Ending.LEFT), secondTries.size(),
					count(secondTries, StreamCall::isComplete), pausesMillis[pausesMillis.length / 2],
					pausesMillis[pausesMillis.length - 1], (double) sends / passedOn, toldMillis);
	}

	private static long count(List<StreamCall> calls, Predicate<StreamCall> matching) {
		return calls.stream().filter(matching).count();
	}

}
