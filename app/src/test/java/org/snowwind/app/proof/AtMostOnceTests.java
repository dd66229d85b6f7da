package org.snowwind.app.proof;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.app.harness.BusyMachine;
import org.snowwind.app.harness.ProcessFleet;
import org.snowwind.app.load.CallOutcome;
import org.snowwind.app.load.CallRecord;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.app.load.PromiseCheck;
import org.snowwind.standin.PlainFaults;
import org.snowwind.standin.StandInPlainService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Charges under real kills, freezes and cuts: none runs twice, and none of which "not
 * run" was said runs at all.
 */
class AtMostOnceTests {

	private static final int CHARGES = 120;

	@TempDir
	private Path folder;

	@Test
	void anAgentIsKilledUnderChargesAndStartedAgain() throws IOException, InterruptedException {
		PromiseCheck check = underCharges((fleet) -> {
			fleet.node("desk-1").process().kill();
			fleet.restart("desk-1");
		});
		assertThat(check.broken()).isEmpty();
		assertThat(check.count(CallOutcome.ANSWERED)).as("%s", check.unanswered()).isGreaterThan(CHARGES / 2);
	}

	@Test
	void anAgentIsFrozenUnderChargesAndThawed() throws IOException, InterruptedException {
		PromiseCheck check = underCharges((fleet) -> {
			fleet.node("desk-1").process().freeze();
			TimeUnit.MILLISECONDS.sleep(5500);
			fleet.node("desk-1").process().thaw();
		});
		assertThat(check.broken()).isEmpty();
		assertThat(check.count(CallOutcome.ANSWERED)).as("%s", check.unanswered()).isGreaterThan(CHARGES / 3);
	}

	@Test
	void theLinkToAnAgentIsCutAgainAndAgain() throws IOException, InterruptedException {
		PromiseCheck check = underCharges((fleet) -> {
			for (int i = 0; i < 8; i++) {
				fleet.node("desk-1").requests().cut();
				TimeUnit.MILLISECONDS.sleep(40);
				fleet.node("desk-1").requests().heal();
				TimeUnit.MILLISECONDS.sleep(60);
			}
		});
		assertThat(check.broken()).isEmpty();
		assertThat(check.count(CallOutcome.ANSWERED)).as("%s", check.unanswered()).isGreaterThan(CHARGES / 2);
	}

	private PromiseCheck underCharges(Disturbance disturbance) throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			for (String name : List.of("desk-1", "desk-2")) {
				fleet.service(name).faults(new PlainFaults(15, PlainFaults.BreakAt.NOWHERE, 0));
			}
			fleet.entry("entry-1");
			fleet.declare("entry-1");
			try (LoadGenerator load = new LoadGenerator("charge", List.of(fleet.callerUrl("entry-1")));
					BusyMachine machine = new BusyMachine()) {
				Thread disturber = new Thread(() -> run(disturbance, fleet), "disturber");
				for (int i = 0; i < CHARGES; i++) {
					if (i == CHARGES / 4) {
						disturber.start();
					}
					load.send(ProcessFleet.CHARGE, ProcessFleet.ATLAS);
					TimeUnit.MILLISECONDS.sleep(10);
				}
				disturber.join();
				assertThat(load.awaitIdle(30_000)).isTrue();
				TimeUnit.MILLISECONDS.sleep(300);
				assertThat(load.records()).hasSize(CHARGES);
				return new PromiseCheck(machine.judged(load.records(), ProcessFleet.CHARGE.budgetMillis()),
						fleet.effects());
			}
		}
	}

	@Test
	void aConnectionThatBreaksAtAnyPointOfTheAnswerIsTold() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			StandInPlainService service = fleet.service("desk-1");
			fleet.entry("entry-1");
			fleet.declare("entry-1");
			try (LoadGenerator load = new LoadGenerator("break", List.of(fleet.callerUrl("entry-1")))) {
				for (PlainFaults.BreakAt point : List.of(PlainFaults.BreakAt.BEFORE_EFFECT,
						PlainFaults.BreakAt.AFTER_EFFECT, PlainFaults.BreakAt.MID_ANSWER,
						PlainFaults.BreakAt.BEFORE_END)) {
					service.faults(new PlainFaults(0, point, 1));
					load.send(ProcessFleet.CHARGE, ProcessFleet.ATLAS);
					assertThat(load.awaitIdle(10_000)).isTrue();
				}
				assertThat(load.records()).as("%s", load.records())
					.extracting(CallRecord::outcome)
					.containsExactly(CallOutcome.UNKNOWN, CallOutcome.UNKNOWN, CallOutcome.BROKEN, CallOutcome.BROKEN);
				assertThat(new PromiseCheck(load.records(), fleet.effects()).broken()).isEmpty();
			}
		}
	}

	private static void run(Disturbance disturbance, ProcessFleet fleet) {
		try {
			disturbance.disturb(fleet);
		}
		catch (IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@FunctionalInterface
	private interface Disturbance {

		void disturb(ProcessFleet fleet) throws IOException, InterruptedException;

	}

}
