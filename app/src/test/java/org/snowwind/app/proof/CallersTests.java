package org.snowwind.app.proof;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.app.harness.ProcessFleet;
import org.snowwind.app.load.CallOutcome;
import org.snowwind.app.load.CallPlan;
import org.snowwind.app.load.CallRecord;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.http.client.JsonClient;
import org.snowwind.http.client.JsonClient.JsonAnswer;
import org.snowwind.standin.PlainFaults;
import org.snowwind.standin.PlatformFaults;
import org.snowwind.standin.StandInEngine;
import org.snowwind.standin.StandInPlainService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What callers send wrongly, twice, or and then do not read.
 */
class CallersTests {

	private static final String GENERATE = "/v1/models/chat/generate";

	@TempDir
	private Path folder;

	private static JsonAnswer call(ProcessFleet fleet, String entry, String method, String path,
			Map<String, String> headers, Object body) throws IOException {
		Map<String, String> all = new HashMap<>(Map.of("Authorization", "Bearer atlas-key"));
		all.putAll(headers);
		try (JsonClient client = new JsonClient(all, 1000)) {
			return client.call(method, fleet.callerUrl(entry) + path, Map.of(), body, 10_000);
		}
	}

	private static String code(JsonAnswer answer) {
		return answer.status() + " " + answer.body().path("error").path("code").asText();
	}

	@Test
	void badInputGetsItsOwnTypedErrorAndReachesNoEngine() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			StandInEngine engine = fleet.engine("engine-1");
			StandInPlainService service = fleet.service("desk-1");
			fleet.entry("entry-1");
			fleet.declare("entry-1");
			Map<String, String> none = Map.of();
			Map<String, Object> good = Map.of("prompt", "p", "maxTokens", 1);
			assertThat(code(call(fleet, "entry-1", "POST", GENERATE, Map.of("Authorization", "Bearer x"), good)))
				.isEqualTo("401 unknown-organisation");
			assertThat(code(call(fleet, "entry-1", "POST", "/v1/models/none/generate", none, good)))
				.isEqualTo("404 unknown-model");
			assertThat(code(call(fleet, "entry-1", "GET", GENERATE, none, null))).isEqualTo("405 method-not-allowed");
			assertThat(code(call(fleet, "entry-1", "GET", "/v1/services/none/x", none, null)))
				.isEqualTo("404 unknown-service");
			assertThat(code(call(fleet, "entry-1", "GET", "/elsewhere", none, null))).isEqualTo("404 unknown-path");
			assertThat(code(call(fleet, "entry-1", "POST", GENERATE, none, "text"))).isEqualTo("400 bad-json");
			assertThat(code(call(fleet, "entry-1", "POST", GENERATE, none, Map.of("prompt", 1, "maxTokens", 1))))
				.isEqualTo("400 bad-json");
			assertThat(code(call(fleet, "entry-1", "POST", GENERATE, none, Map.of("prompt", "p", "maxTokens", 0))))
				.isEqualTo("400 bad-json");
			assertThat(code(call(fleet, "entry-1", "POST", GENERATE, none,
					Map.of("prompt", "x".repeat(2 << 20), "maxTokens", 1))))
				.isEqualTo("413 body-too-large");
			assertThat(code(call(fleet, "entry-1", "POST", GENERATE, Map.of("X-Snowwind-Budget-Millis", "-1"), good)))
				.isEqualTo("400 bad-header");
			assertThat(code(call(fleet, "entry-1", "POST", "/v1/services/desk/charge",
					Map.of("X-Snowwind-Repeatable", "yes"), good)))
				.isEqualTo("403 not-allowed");
			assertThat(code(call(fleet, "entry-1", "POST", "/v1/services/desk/charge",
					Map.of("Idempotency-Key", "k".repeat(300)), good)))
				.isEqualTo("400 bad-header");
			assertThat(engine.begun()).isZero();
			assertThat(service.effects()).isEmpty();
		}
	}

	@Test
	void aKeyRunsItsChargeOnceWhicheverEntriesItComesTo() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			StandInPlainService service = fleet.service("desk-1");
			fleet.entry("entry-1");
			fleet.entry("entry-2", "entry-1");
			fleet.declare("entry-1");
			assertThat(ProcessFleet.eventually(() -> fleet.ready("entry-2"))).isTrue();
			Map<String, String> headers = Map.of("Idempotency-Key", "renewal-1", StandInPlainService.TAG, "renewal");
			String charge = "/v1/services/desk/charge";
			assertThat(ProcessFleet.eventually(() -> {
				int status = call(fleet, "entry-2", "GET", "/v1/services/desk/lookup", Map.of(), null).status();
				return status == 200;
			})).isTrue();
			assertThat(call(fleet, "entry-1", "POST", charge, headers, Map.of("pay", 1)).status()).isEqualTo(200);
			assertThat(code(call(fleet, "entry-2", "POST", charge, headers, Map.of("pay", 1))))
				.isEqualTo("409 key-claimed");
			assertThat(code(call(fleet, "entry-1", "POST", charge, headers, Map.of("pay", 2))))
				.isEqualTo("422 key-reused");
			assertThat(service.effects()).containsExactly(Map.entry("renewal", 1));
		}
	}

	@Test
	void aClaimSurvivesALostAnswerAndIsRefusedInAnOutage() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			StandInPlainService service = fleet.service("desk-1");
			fleet.entry("entry-1");
			fleet.declare("entry-1");
			String charge = "/v1/services/desk/charge";
			fleet.platform().faults(PlatformFaults.NONE.withLostAnswers(1));
			Map<String, String> lost = Map.of("Idempotency-Key", "lost", StandInPlainService.TAG, "lost");
			assertThat(call(fleet, "entry-1", "POST", charge, lost, Map.of()).status()).isEqualTo(200);
			fleet.platform().faults(PlatformFaults.NONE.withOutage(true));
			Map<String, String> away = Map.of("Idempotency-Key", "away", StandInPlainService.TAG, "away");
			JsonAnswer refused = call(fleet, "entry-1", "POST", charge, away, Map.of());
			assertThat(code(refused)).isEqualTo("503 claim-unavailable");
			assertThat(refused.body().path("error").path("outcome").asText()).isEqualTo("not-run");
			assertThat(service.effects()).containsExactly(Map.entry("lost", 1));
		}
	}

	@Test
	void theTimeThatAClaimTakesCountsAgainstTheBudget() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			StandInPlainService service = fleet.service("desk-1");
			fleet.entry("entry-1");
			fleet.declare("entry-1");
			fleet.platform().faults(new PlatformFaults(false, 700, 0, 0, 10_000));
			Map<String, String> headers = Map.of("Idempotency-Key", "slow", "X-Snowwind-Budget-Millis", "400",
					StandInPlainService.TAG, "slow");
			assertThat(code(call(fleet, "entry-1", "POST", "/v1/services/desk/charge", headers, Map.of())))
				.isEqualTo("503 deadline-not-run");
			assertThat(service.effects()).isEmpty();
		}
	}

	@Test
	void anEntryIsKilledAndItsCallersSeeIt() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			fleet.service("desk-1").faults(new PlainFaults(60, PlainFaults.BreakAt.NOWHERE, 0));
			fleet.entry("entry-1");
			fleet.declare("entry-1");
			try (LoadGenerator load = new LoadGenerator("entry", List.of(fleet.callerUrl("entry-1")))) {
				for (int i = 0; i < 20; i++) {
					load.send(ProcessFleet.CHARGE, ProcessFleet.ATLAS);
				}
				assertThat(ProcessFleet.eventually(() -> !fleet.effects().isEmpty())).isTrue();
				fleet.node("entry-1").process().kill();
				assertThat(load.awaitIdle(20_000)).isTrue();
				assertThat(load.records()).hasSize(20)
					.extracting(CallRecord::outcome)
					.containsAnyOf(CallOutcome.ANSWERED, CallOutcome.BROKEN)
					.doesNotContain(CallOutcome.WRONG, CallOutcome.UNKNOWN);
				assertThat(fleet.effects().values()).allMatch((count) -> count == 1);
			}
		}
	}

	@Test
	void aCallerThatDoesNotReadHoldsUpOnlyItself() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			StandInEngine engine = fleet.engine("engine-1");
			fleet.entry("entry-1");
			fleet.declare("entry-1");
			String body = "{\"prompt\":\"silent\",\"maxTokens\":100000}";
			String request = "POST " + GENERATE + " HTTP/1.1\r\nAuthorization: Bearer atlas-key\r\nContent-Length: "
					+ body.length() + "\r\n\r\n" + body;
			int port = Integer.parseInt(fleet.callerUrl("entry-1").replaceAll(".*:", ""));
			try (Socket silent = new Socket(InetAddress.getLoopbackAddress(), port);
					LoadGenerator load = new LoadGenerator("slow", List.of(fleet.callerUrl("entry-1")))) {
				silent.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
				assertThat(ProcessFleet.eventually(() -> engine.begun() == 1)).isTrue();
				CallPlan plan = ProcessFleet.GENERATE;
				for (int i = 0; i < 10; i++) {
					load.send(plan, ProcessFleet.ADEGA);
				}
				assertThat(load.awaitIdle(20_000)).isTrue();
				assertThat(load.records()).extracting(CallRecord::outcome).containsOnly(CallOutcome.ANSWERED);
			}
			assertThat(ProcessFleet.eventually(() -> engine.cancelled() == 1)).isTrue();
		}
	}

}
