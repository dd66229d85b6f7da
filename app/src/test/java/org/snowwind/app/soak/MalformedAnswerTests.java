package org.snowwind.app.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.platform.standin.Run;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that malformed answers of a server never reach callers of two gateways, which run
 * as processes, and that the gateways log them.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class MalformedAnswerTests {

	private static final Path FOLDER = Path.of(System.getProperty("snowwind.root"), "app/target/malformed-answers");

	private static final List<CallKind> KINDS = List.of(CallKind.ONCE, CallKind.AGAIN, CallKind.STREAM);

	private static final int GATEWAYS = 2;

	private static final int MOST_CALLS = 600;

	private static final int LEAST_RUNS = 6;

	private static final long CALL_EVERY_MILLIS = 5;

	private static final long START_MILLIS = 30_000;

	private final DataLoop callerLoop = new DataLoop("malformed-callers");

	private SoakCaller caller;

	private SoakWorld world;

	static Stream<Arguments> answers() {
		return Stream.of(MalformedAnswer.values())
			.flatMap((answer) -> Stream.of(Arguments.of(answer, "desk"), Arguments.of(answer, SoakWorld.STREAMING)));
	}

	@BeforeAll
	void startWorld() throws Exception {
		this.world = new SoakWorld(Files.createDirectories(FOLDER), GATEWAYS, 1, new Random(1));
	}

	@AfterAll
	void stopWorld() throws Exception {
		this.world.close();
		this.callerLoop.close();
	}

	@BeforeEach
	void awaitServing() throws Exception {
		try (SoakCaller first = new SoakCaller(this.callerLoop, UpstreamClient.Connections.FRESH)) {
			long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
			for (SoakGateway gateway : this.world.gateways()) {
				for (CallKind kind : KINDS) {
					while (!first.send(gateway, kind, SoakWorld.KEY).get().served()) {
						assertThat(System.nanoTime()).as("the gateway serves in time").isLessThan(endNanos);
						TimeUnit.MILLISECONDS.sleep(100);
					}
				}
			}
		}
		this.caller = new SoakCaller(this.callerLoop);
	}

	@AfterEach
	void closeCaller() {
		this.caller.close();
	}

	@ParameterizedTest
	@MethodSource("answers")
	void malformedAnswerDoesNotReachCallers(MalformedAnswer answer, String service) throws Exception {
		FaultyServer server = this.world.addFaulty(service, answer);
		try (server) {
			for (int i = 0; i < MOST_CALLS && server.runs().size() < LEAST_RUNS; i++) {
				SoakGateway gateway = this.world.gateways().get(i % GATEWAYS);
				this.caller.send(gateway, KINDS.get(i / GATEWAYS % KINDS.size()), SoakWorld.KEY);
				TimeUnit.MILLISECONDS.sleep(CALL_EVERY_MILLIS);
			}
			awaitAnswers();
		}
		Set<String> ran = server.runs().stream().map(Run::requestId).collect(Collectors.toSet());
		List<Call> calls = this.caller.calls().stream().filter((call) -> ran.contains(call.id())).toList();
		Map<String, Long> outcomes = calls.stream()
			.collect(Collectors.groupingBy((call) -> call.kind() + " " + call.status(), TreeMap::new,
					Collectors.counting()));
		assertThat(ran).as("requests at the server").isNotEmpty();
		assertThat(this.caller.open()).as("requests without an end").isZero();
		assertThat(this.caller.malformedResponses()).as("malformed responses of gateways").isEmpty();
		assertThat(calls).as("requests at the server: %s", outcomes)
			.allMatch((call) -> call.whole() && !call.answer().contains(MalformedAnswer.CONTENT));
		assertThat(new AnswersAreWholeAndOwn().broken(this.world.history(this.caller.calls()))).isEmpty();
		assertThat(outputs()).contains("SW-3043");
	}

	private String outputs() throws IOException {
		StringBuilder outputs = new StringBuilder();
		for (SoakGateway gateway : this.world.gateways()) {
			outputs.append(gateway.process().output());
		}
		return outputs.toString();
	}

	private void awaitAnswers() throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * CallKind.STREAM.timeoutMillis());
		while (this.caller.open() > 0 && System.nanoTime() < endNanos) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

}
