package org.snowwind.app.command;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.thrift.transport.TTransportException;
import org.snowwind.app.load.CallKind;
import org.snowwind.app.load.CallOutcome;
import org.snowwind.app.load.CallPlan;
import org.snowwind.app.load.Caller;
import org.snowwind.app.load.LoadGenerator;
import org.snowwind.app.load.PromiseCheck;
import org.snowwind.app.logging.LogSetup;
import org.snowwind.app.trial.InForceWait;
import org.snowwind.app.trial.TrialFleet;
import org.snowwind.app.trial.TrialSettings;
import org.snowwind.config.settings.Addresses;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.operator.OperatorAnswer;
import org.snowwind.operator.OperatorClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs a whole small fleet under load, with an entry and an agent stopped midway.
 */
@Command(name = "try", description = "Run a whole small fleet with its stand-ins and check every promise.",
		mixinStandardHelpOptions = true, footer = { "", "Example:", "  snowwind try --keep" })
public final class TryCommand implements Callable<Integer> {

	private static final int CALLS_PER_SECOND = 60;

	private static final long IN_FORCE_TIMEOUT_MILLIS = 20_000;

	private static final long IDLE_TIMEOUT_MILLIS = 30_000;

	private static final OrganisationSpec LIMITS = new OrganisationSpec(List.of(), 1, 1000, 1000, 500, 1 << 20);

	private static final List<Caller> CALLERS = List.of(new Caller("atlas-forme", "atlas-key"),
			new Caller("adega", "adega-key"));

	private static final CallPlan PLAN = new CallPlan(CallKind.GENERATE, TrialFleet.MODEL, TrialFleet.SERVICE, 24, 200,
			8000);

	@Option(names = "--seconds", description = "How long the load lasts; default: ${DEFAULT-VALUE}.",
			defaultValue = "10")
	private int seconds;

	@Option(names = "--seed", description = "Makes the mix of calls repeatable; default: ${DEFAULT-VALUE}.",
			defaultValue = "1")
	private long seed;

	@Option(names = "--keep", description = "Leave the fleet up and print commands for a second terminal.")
	private boolean keep;

	@Override
	public Integer call() throws InterruptedException {
		LogSetup.quiet();
		System.out.println("starting 3 data centres with 2 entries, 2 engines and a plain service each");
		try (TrialFleet fleet = new TrialFleet(TrialSettings.DEFAULT)) {
			return run(fleet);
		}
		catch (TTransportException | IOException ex) {
			System.err.println("cannot start: " + ex.getMessage());
			return ExitCodes.UNREACHABLE;
		}
	}

	private int run(TrialFleet fleet) throws InterruptedException {
		if (!declare(fleet)) {
			return ExitCodes.MISSED;
		}
		List<String> broken = load(fleet);
		if (this.keep) {
			printCommands(fleet);
			new CountDownLatch(1).await();
		}
		return broken.isEmpty() ? ExitCodes.OK : ExitCodes.MISSED;
	}

	private static boolean declare(TrialFleet fleet) throws InterruptedException {
		List<JsonNode> resources = fleet.resources(CALLERS, LIMITS);
		long startNanos = System.nanoTime();
		try (OperatorClient client = operator(fleet)) {
			OperatorAnswer applied = client.apply(resources, false);
			boolean done = applied.match((answer) -> true, (refused) -> false, (unreachable) -> false);
			if (!done || !InForceWait.await(client, resources, IN_FORCE_TIMEOUT_MILLIS)) {
				System.err.println("the resources did not come in force: " + applied);
				return false;
			}
		}
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
		System.out.println(resources.size() + " resources declared and in force after " + millis + " ms");
		return true;
	}

	private static OperatorClient operator(TrialFleet fleet) {
		String address = Addresses.render(anyEntry(fleet).addresses().operators());
		return new OperatorClient(address, TrialFleet.OPERATOR_TOKEN);
	}

	private static TrialFleet.RunningEntry anyEntry(TrialFleet fleet) {
		return fleet.entries().values().iterator().next();
	}

	private List<String> load(TrialFleet fleet) throws InterruptedException {
		Random random = new Random(this.seed);
		try (LoadGenerator load = new LoadGenerator("try", fleet.callerUrls())) {
			long startNanos = System.nanoTime();
			int total = this.seconds * CALLS_PER_SECOND;
			for (int i = 0; i < total; i++) {
				waitUntil(startNanos + TimeUnit.SECONDS.toNanos(1) * i / CALLS_PER_SECOND);
				load.send(PLAN.as(randomKind(random)), CALLERS.get(random.nextInt(CALLERS.size())));
				stopSomething(fleet, load, i, total);
				if (i % CALLS_PER_SECOND == 0) {
					progress(load, i / CALLS_PER_SECOND);
				}
			}
			boolean idle = load.awaitIdle(IDLE_TIMEOUT_MILLIS);
			System.out.println();
			return summary(fleet, load, idle);
		}
	}

	private static CallKind randomKind(Random random) {
		int dice = random.nextInt(10);
		if (dice < 6) {
			return CallKind.GENERATE;
		}
		return (dice < 8) ? CallKind.LOOKUP : CallKind.CHARGE;
	}

	private static void stopSomething(TrialFleet fleet, LoadGenerator load, int call, int total) {
		if (call == total / 3) {
			TrialFleet.RunningEntry entry = fleet.removeEntry("entry-casa-1");
			load.entries(fleet.callerUrls());
			new Thread(entry.daemon()::drainAndStop, "stop-entry").start();
		}
		if (call == total * 2 / 3) {
			TrialFleet.RunningAgent agent = fleet.agents().get("engine-casa-1");
			new Thread(agent.daemon()::close, "stop-agent").start();
		}
	}

	private void progress(LoadGenerator load, int second) {
		System.out.print("\rsecond " + second + " of " + this.seconds + ", calls ended " + load.records().size()
				+ ", open " + load.open() + "   ");
		System.out.flush();
	}

	private static void waitUntil(long nanos) throws InterruptedException {
		long leftNanos = nanos - System.nanoTime();
		if (leftNanos > 0) {
			TimeUnit.NANOSECONDS.sleep(leftNanos);
		}
	}

	private static List<String> summary(TrialFleet fleet, LoadGenerator load, boolean idle) {
		PromiseCheck check = new PromiseCheck(load.records(), fleet.effects());
		System.out.println("an entry was drained and an agent was cut off midway");
		Tables.print(List.of(List.of("CALLS", "COUNT"), row("answered", check.count(CallOutcome.ANSWERED)),
				row("refused, not run", check.count(CallOutcome.NOT_RUN)),
				row("outcome unknown", check.count(CallOutcome.UNKNOWN)),
				row("visibly broken off", check.count(CallOutcome.BROKEN)),
				row("other refusals", check.count(CallOutcome.REJECTED)), row("duplicated", check.duplicated()),
				row("falsely not run", check.falselyNotRun()), row("mixed up", check.count(CallOutcome.WRONG)),
				row("late", check.late())));
		System.out.printf("first token p50 %.1f ms, p99 %.1f ms; between tokens p50 %.1f ms, p99 %.1f ms%n",
				load.statistics().firstTokenMillis(50), load.statistics().firstTokenMillis(99),
				load.statistics().betweenTokensMillis(50), load.statistics().betweenTokensMillis(99));
		List<String> broken = new java.util.ArrayList<>(check.broken());
		if (!idle) {
			broken.add(load.open() + " calls never ended");
		}
		broken.forEach((line) -> System.out.println("BROKEN: " + line));
		System.out.println(broken.isEmpty() ? "every promise was kept" : "promises were broken");
		return broken;
	}

	private static List<String> row(String what, long count) {
		return List.of(what, Long.toString(count));
	}

	private static void printCommands(TrialFleet fleet) {
		TrialFleet.RunningEntry entry = anyEntry(fleet);
		String callers = Addresses.render(entry.addresses().callers());
		System.out.println("the fleet stays up until you press Ctrl-C; in a second terminal:");
		System.out.println("  export SNOWWIND_ENTRY=" + Addresses.render(entry.addresses().operators())
				+ " SNOWWIND_TOKEN=" + TrialFleet.OPERATOR_TOKEN);
		System.out.println("  ./snowwind get BackendServer");
		System.out.println(
				"  curl -N -H 'Authorization: Bearer atlas-key' -d '{\"prompt\":\"hello\",\"maxTokens\":8}' http://"
						+ callers + "/v1/models/chat/generate");
		System.out.println("  curl http://" + Addresses.render(entry.addresses().admin()) + "/metrics");
	}

}
