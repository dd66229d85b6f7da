package org.snowwind.app.proof;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.app.harness.ProcessFleet;
import org.snowwind.app.load.CallOutcome;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.app.load.PromiseCheck;
import org.snowwind.standin.EngineFaults;
import org.snowwind.standin.StandInEngine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Generated answers under failing engines, agents and entries: every caller gets its own
 * whole answer, or sees plainly that it did not.
 */
class WholeAnswerTests {

	/** Streams without faults, after which a process is warm. */
	private static final int WARM_UP = 6;

	@TempDir
	private Path folder;

	@Test
	void brokenAndStalledStreamsAreResumedElsewhere() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			StandInEngine first = fleet.engine("engine-1");
			StandInEngine second = fleet.engine("engine-2");
			fleet.entry("entry-1");
			fleet.declare("entry-1");
			try (LoadGenerator load = new LoadGenerator("resume", List.of(fleet.callerUrl("entry-1")))) {
				// In a cold process the first streams come one by one, and one of them
				// can meet
				// three of the faults, which are meant for as many streams as there are
				// faults.
				send(load, WARM_UP);
				assertThat(load.awaitIdle(30_000)).isTrue();
				first.faults(new EngineFaults(false, 10, 6));
				second.faults(new EngineFaults(false, 25, 6));
				// All at once: streams that come one by one use up the faults one by one,
				// and one
				// of them can meet three, which is all the attempts that it has.
				burst(load, 20);
				first.faults(new EngineFaults(true, 0, 0));
				send(load, 10);
				assertThat(load.awaitIdle(30_000)).isTrue();
				PromiseCheck check = new PromiseCheck(load.records(), fleet.effects());
				assertThat(check.broken()).isEmpty();
				assertThat(check.count(CallOutcome.ANSWERED)).as("%s", check.unanswered()).isEqualTo(WARM_UP + 30);
			}
		}
	}

	@Test
	void anAgentIsKilledInTheMiddleOfStreams() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			fleet.engine("engine-1");
			fleet.engine("engine-2");
			fleet.entry("entry-1");
			fleet.declare("entry-1");
			try (LoadGenerator load = new LoadGenerator("kill", List.of(fleet.callerUrl("entry-1")))) {
				send(load, 15);
				fleet.node("engine-1").process().kill();
				send(load, 15);
				assertThat(load.awaitIdle(30_000)).isTrue();
				PromiseCheck check = new PromiseCheck(load.records(), fleet.effects());
				assertThat(check.broken()).isEmpty();
				assertThat(check.count(CallOutcome.ANSWERED)).as("%s", check.unanswered()).isEqualTo(30);
			}
		}
	}

	@Test
	void anAgentIsFrozenInTheMiddleOfStreamsAndItsLateAnswersGoNowhere() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			fleet.engine("engine-1");
			fleet.engine("engine-2");
			fleet.entry("entry-1");
			fleet.declare("entry-1");
			try (LoadGenerator load = new LoadGenerator("freeze", List.of(fleet.callerUrl("entry-1")))) {
				send(load, 15);
				fleet.node("engine-1").process().freeze();
				send(load, 15);
				assertThat(load.awaitIdle(30_000)).isTrue();
				fleet.node("engine-1").process().thaw();
				send(load, 15);
				assertThat(load.awaitIdle(30_000)).isTrue();
				PromiseCheck check = new PromiseCheck(load.records(), fleet.effects());
				assertThat(check.broken()).isEmpty();
				assertThat(check.count(CallOutcome.ANSWERED)).as("%s", check.unanswered()).isEqualTo(45);
			}
		}
	}

	@Test
	void aGracefulStopOfEntryAndAgentCutsNothingOff() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			fleet.engine("engine-1");
			fleet.engine("engine-2");
			fleet.entry("entry-1");
			fleet.entry("entry-2", "entry-1");
			fleet.declare("entry-1");
			assertThat(ProcessFleet.eventually(() -> fleet.ready("entry-2"))).isTrue();
			List<String> both = List.of(fleet.callerUrl("entry-1"), fleet.callerUrl("entry-2"));
			try (LoadGenerator load = new LoadGenerator("stop", both)) {
				send(load, 20);
				load.entries(List.of(fleet.callerUrl("entry-2")));
				fleet.node("entry-1").process().terminate();
				fleet.node("engine-1").process().terminate();
				send(load, 20);
				assertThat(load.awaitIdle(30_000)).isTrue();
				assertThat(fleet.node("entry-1").process().awaitEnd()).isTrue();
				assertThat(fleet.node("engine-1").process().awaitEnd()).isTrue();
				PromiseCheck check = new PromiseCheck(load.records(), fleet.effects());
				assertThat(check.broken()).isEmpty();
				assertThat(check.count(CallOutcome.ANSWERED)).as("%s", check.unanswered()).isEqualTo(40);
				assertThat(fleet.node("engine-1").process().output()).doesNotContain("SW-1104");
				assertThat(fleet.node("entry-1").process().output()).doesNotContain("SW-1104");
			}
		}
	}

	@Test
	void aDrainedServerGetsNoMoreWork() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			StandInEngine drained = fleet.engine("engine-1");
			fleet.engine("engine-2");
			fleet.entry("entry-1");
			fleet.declare("entry-1");
			try (LoadGenerator load = new LoadGenerator("drain", List.of(fleet.callerUrl("entry-1")));
					var operator = fleet.operator("entry-1")) {
				send(load, 10);
				operator.drain("engine-1");
				List<String> sentAfter = send(load, 30);
				assertThat(load.awaitIdle(30_000)).isTrue();
				assertThat(sentAfter).noneMatch((tag) -> begunAt(drained, tag));
				assertThat(new PromiseCheck(load.records(), fleet.effects()).count(CallOutcome.ANSWERED)).isEqualTo(40);
			}
		}
	}

	private static boolean begunAt(StandInEngine engine, String tag) {
		return engine.begunPrompts().stream().anyMatch((prompt) -> prompt.startsWith(tag + " "));
	}

	private static void burst(LoadGenerator load, int count) {
		for (int i = 0; i < count; i++) {
			load.send(ProcessFleet.GENERATE, (i % 2 == 0) ? ProcessFleet.ATLAS : ProcessFleet.ADEGA);
		}
	}

	private static List<String> send(LoadGenerator load, int count) throws InterruptedException {
		List<String> tags = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			tags.add(load.send(ProcessFleet.GENERATE, (i % 2 == 0) ? ProcessFleet.ATLAS : ProcessFleet.ADEGA));
			TimeUnit.MILLISECONDS.sleep(15);
		}
		return tags;
	}

}
