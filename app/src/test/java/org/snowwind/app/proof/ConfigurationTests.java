package org.snowwind.app.proof;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.app.harness.ProcessFleet;
import org.snowwind.app.load.CallOutcome;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.app.load.PromiseCheck;
import org.snowwind.operator.OperatorAnswer;
import org.snowwind.operator.OperatorClient;
import org.snowwind.standin.PlatformFaults;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What is accepted comes in force everywhere and stays, whatever becomes of the platform,
 * the relays and the links.
 */
class ConfigurationTests {

	@TempDir
	private Path folder;

	private static JsonNode service(String name, String text) {
		return ProcessFleet.resource("Service", name, Map.of("description", text));
	}

	private static String result(OperatorAnswer answer) {
		return answer.match((done) -> done.body().path("results").path(0).path("result").asText(),
				(refused) -> refused.code(), (unreachable) -> "unreachable");
	}

	private static long revision(ProcessFleet fleet, String entry, String service) {
		try (OperatorClient client = fleet.operator(entry)) {
			return client.get("Service", service)
				.match((done) -> done.body().path("revision").asLong(), (refused) -> 0L, (unreachable) -> -1L);
		}
	}

	private ProcessFleet fleetOf(String... entries) throws IOException, InterruptedException {
		ProcessFleet fleet = new ProcessFleet(this.folder);
		fleet.service("desk-1");
		for (int i = 0; i < entries.length; i++) {
			fleet.entry(entries[i], java.util.Arrays.copyOf(entries, i));
		}
		fleet.declare(entries[0]);
		for (String entry : entries) {
			assertThat(ProcessFleet.eventually(() -> fleet.ready(entry))).isTrue();
		}
		return fleet;
	}

	@Test
	void whileThePlatformIsAwayTrafficGoesOnAndChangesAreRefusedPlainly() throws IOException, InterruptedException {
		try (ProcessFleet fleet = fleetOf("entry-1", "entry-2"); OperatorClient client = fleet.operator("entry-1")) {
			fleet.platform().faults(PlatformFaults.NONE.withOutage(true));
			assertThat(result(client.apply(List.of(service("shop", "x")), false))).isEqualTo("NOT_WRITTEN");
			try (LoadGenerator load = new LoadGenerator("outage",
					List.of(fleet.callerUrl("entry-1"), fleet.callerUrl("entry-2")))) {
				for (int i = 0; i < 40; i++) {
					load.send(ProcessFleet.CHARGE, ProcessFleet.ATLAS);
					TimeUnit.MILLISECONDS.sleep(10);
				}
				assertThat(load.awaitIdle(20_000)).isTrue();
				assertThat(new PromiseCheck(load.records(), fleet.effects()).count(CallOutcome.ANSWERED)).isEqualTo(40);
			}
			fleet.platform().faults(PlatformFaults.NONE);
			assertThat(result(client.apply(List.of(service("shop", "x")), false))).isEqualTo("CREATED");
			assertThat(ProcessFleet.eventually(() -> revision(fleet, "entry-2", "shop") > 0)).isTrue();
		}
	}

	@Test
	void aNewEntryStartsFromItsPeerWhileThePlatformIsAway() throws IOException, InterruptedException {
		try (ProcessFleet fleet = fleetOf("entry-1")) {
			fleet.platform().faults(PlatformFaults.NONE.withOutage(true));
			fleet.entry("entry-2", "entry-1");
			assertThat(ProcessFleet.eventually(() -> fleet.ready("entry-2"))).isTrue();
			assertThat(revision(fleet, "entry-2", "desk")).isEqualTo(revision(fleet, "entry-1", "desk"));
		}
	}

	@Test
	void anEntryThatFindsNobodyIsNotReadyAndSaysSo() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			fleet.platform().faults(PlatformFaults.NONE.withOutage(true));
			fleet.entry("alone");
			assertThat(ProcessFleet.eventually(() -> fleet.node("alone").process().output().contains("SW-2101")))
				.isTrue();
			assertThat(fleet.ready("alone")).isFalse();
			fleet.platform().faults(PlatformFaults.NONE);
			fleet.service("desk-1");
			fleet.declare("alone");
			assertThat(fleet.ready("alone")).isTrue();
		}
	}

	@Test
	void aLostAnswerOfThePlatformIsSettledByReadingBack() throws IOException, InterruptedException {
		try (ProcessFleet fleet = fleetOf("entry-1"); OperatorClient client = fleet.operator("entry-1")) {
			fleet.platform().faults(PlatformFaults.NONE.withLostAnswers(1));
			assertThat(result(client.apply(List.of(service("shop", "x")), false))).isEqualTo("CREATED");
			assertThat(ProcessFleet.eventually(() -> revision(fleet, "entry-1", "shop") > 0)).isTrue();
		}
	}

	@Test
	void aFrozenRelayThatWakesNeverTakesTheFleetBack() throws IOException, InterruptedException {
		try (ProcessFleet fleet = fleetOf("entry-1", "entry-2", "entry-3");
				OperatorClient client = fleet.operator("entry-3")) {
			fleet.node("entry-1").process().freeze();
			fleet.node("entry-2").process().freeze();
			long highest = 0;
			for (int i = 0; i < 5; i++) {
				client.apply(List.of(service("shop", "version " + i)), false);
				long seen = highest;
				assertThat(ProcessFleet.eventually(() -> revision(fleet, "entry-3", "shop") > seen)).isTrue();
				highest = revision(fleet, "entry-3", "shop");
			}
			fleet.node("entry-1").process().thaw();
			fleet.node("entry-2").process().thaw();
			long accepted = highest;
			for (String entry : List.of("entry-1", "entry-2")) {
				assertThat(ProcessFleet.eventually(() -> revision(fleet, entry, "shop") == accepted)).isTrue();
			}
			assertThat(revision(fleet, "entry-3", "shop")).isEqualTo(accepted);
		}
	}

	@Test
	void ofTwoOperatorsThatRaceOneGetsAConflict() throws IOException, InterruptedException {
		try (ProcessFleet fleet = fleetOf("entry-1", "entry-2");
				OperatorClient first = fleet.operator("entry-1");
				OperatorClient second = fleet.operator("entry-2")) {
			first.apply(List.of(service("shop", "begin")), false);
			assertThat(ProcessFleet.eventually(() -> revision(fleet, "entry-2", "shop") > 0)).isTrue();
			long seen = revision(fleet, "entry-2", "shop");
			JsonNode ours = withRevision(service("shop", "ours"), seen);
			JsonNode theirs = withRevision(service("shop", "theirs"), seen);
			assertThat(result(first.apply(List.of(ours), false))).isEqualTo("UPDATED");
			assertThat(result(second.apply(List.of(theirs), false))).isEqualTo("CONFLICT");
		}
	}

	private static JsonNode withRevision(JsonNode resource, long revision) {
		return ((com.fasterxml.jackson.databind.node.ObjectNode) resource).put("revision", revision);
	}

	@Test
	void aCutOffEntryServesOnAndCatchesUp() throws IOException, InterruptedException {
		try (ProcessFleet fleet = fleetOf("entry-1"); OperatorClient client = fleet.operator("entry-1")) {
			fleet.platformLink().cut();
			try (LoadGenerator load = new LoadGenerator("cut", List.of(fleet.callerUrl("entry-1")))) {
				for (int i = 0; i < 20; i++) {
					load.send(ProcessFleet.CHARGE, ProcessFleet.ADEGA);
				}
				assertThat(load.awaitIdle(20_000)).isTrue();
				assertThat(new PromiseCheck(load.records(), fleet.effects()).count(CallOutcome.ANSWERED)).isEqualTo(20);
			}
			fleet.platformLink().heal();
			assertThat(ProcessFleet
				.eventually(() -> !"NOT_WRITTEN".equals(result(client.apply(List.of(service("shop", "x")), false)))))
				.isTrue();
			assertThat(ProcessFleet.eventually(() -> revision(fleet, "entry-1", "shop") > 0)).isTrue();
		}
	}

}
