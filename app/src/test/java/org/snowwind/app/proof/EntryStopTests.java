package org.snowwind.app.proof;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowwind.app.harness.ProcessFleet;
import org.snowwind.app.load.Caller;
import org.snowwind.app.measure.MeasureFleet;
import org.snowwind.app.trial.TrialFleet;
import org.snowwind.app.trial.TrialSettings;
import org.snowwind.model.resource.RoutingPolicySpec;
import org.snowwind.standin.CallerAnswer;
import org.snowwind.standin.EngineSettings;
import org.snowwind.standin.PlainFaults;
import org.snowwind.standin.StandInPlainService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A planned stop of an entry whose callers keep their connections and allow more time
 * than the stop has left.
 *
 * <p>
 * The story behind them: an entry was told to stop. For the balancer's grace it went on
 * taking requests, of any budget, and its answers did not say that their connections
 * should be used no more. When the drain bound passed it closed all connections: callers
 * whose requests had been taken in, some with the bound already in sight, saw them break
 * without a word, though nobody knew better than the entry what became of them. The
 * cause: what a request needs was never compared with what the stop has left. The
 * evidence: the requests here ended with a broken connection in place of a status.
 */
class EntryStopTests {

	private static final long BUDGET_MILLIS = 20_000;

	private static final long DRAIN_MILLIS = 3000;

	private static final long SLOW_MILLIS = 15_000;

	private static final Caller CALLER = new Caller("organisation", "key");

	private TrialFleet fleet;

	private TrialFleet.RunningEntry entry;

	private CompletableFuture<Void> stopped;

	@BeforeEach
	void start() throws Exception {
		TrialSettings settings = new TrialSettings(List.of("casa"), 1, 0, 1, EngineSettings.DEFAULT, 16, 64, 64,
				RoutingPolicySpec.Choice.TWO_CHOICES, BUDGET_MILLIS, 250, DRAIN_MILLIS, 30_000);
		this.fleet = MeasureFleet.start(settings, List.of(CALLER), MeasureFleet.generous());
		this.entry = this.fleet.entries().values().iterator().next();
	}

	@AfterEach
	void close() {
		if (this.stopped != null) {
			this.stopped.join();
			this.fleet.removeEntry(this.fleet.entries().keySet().iterator().next());
		}
		this.fleet.close();
	}

	private void stop() {
		this.stopped = CompletableFuture.runAsync(this.entry.daemon()::drainAndStop);
	}

	private StandInPlainService service() {
		return this.fleet.services().values().iterator().next();
	}

	private Socket connect() throws IOException {
		InetSocketAddress address = this.entry.addresses().callers();
		Socket socket = new Socket(address.getAddress(), address.getPort());
		socket.setSoTimeout((int) SLOW_MILLIS);
		return socket;
	}

	private static void send(Socket socket, String line, String headers, int length, String body) throws IOException {
		String text = line + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + CALLER.key() + "\r\n" + headers
				+ "Content-Length: " + length + "\r\n\r\n" + body;
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
	}

	private static void lookUp(Socket socket) throws IOException {
		send(socket, "GET /v1/services/desk/lookup", "", 0, "");
	}

	private void slowCharge(Socket socket, String tag) throws IOException, InterruptedException {
		service().faults(new PlainFaults(SLOW_MILLIS, PlainFaults.BreakAt.NOWHERE, 0));
		send(socket, "POST /v1/services/desk/charge", StandInPlainService.TAG + ": " + tag + "\r\n", 2, "{}");
		assertThat(ProcessFleet.eventually(() -> running())).isTrue();
	}

	private boolean running() throws IOException {
		InetSocketAddress agent = this.fleet.agents().values().iterator().next().addresses().admin();
		return admin(agent, "/metrics").body().contains("snowwind_agent_running 1.0");
	}

	private static CallerAnswer admin(InetSocketAddress address, String path) throws IOException {
		try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
			send(socket, "GET " + path, "", 0, "");
			return CallerAnswer.read(socket.getInputStream());
		}
	}

	@Test
	void aRequestThatOutlivesTheStopIsToldSoAndNotCutOff() throws Exception {
		try (Socket caller = connect()) {
			slowCharge(caller, "outlives");
			stop();
			CallerAnswer answer = CallerAnswer.read(caller.getInputStream());
			assertThat(answer.status()).isEqualTo(504);
			assertThat(answer.headers()).containsEntry("x-snowwind-outcome", "unknown");
		}
	}

	@Test
	void aRequestThatCannotEndInTimeIsRefusedAtOnceWhenTheStopIsKnown() throws Exception {
		try (Socket slow = connect(); Socket caller = connect()) {
			slowCharge(slow, "slow");
			send(caller, "POST /v1/services/desk/charge", StandInPlainService.TAG + ": refused\r\n", 2, "{");
			stop();
			awaitNoMoreConnections();
			caller.getOutputStream().write('}');
			CallerAnswer answer = CallerAnswer.read(caller.getInputStream());
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.headers()).containsEntry("x-snowwind-outcome", "not-run")
				.containsEntry("connection", "close")
				.containsKey("retry-after");
			assertThat(this.fleet.effects()).doesNotContainKey("refused");
		}
	}

	@Test
	void aRequestThatSurelyEndsInTimeIsServedWhenTheStopIsKnown() throws Exception {
		try (Socket slow = connect(); Socket caller = connect()) {
			slowCharge(slow, "slow");
			send(caller, "POST /v1/services/desk/lookup", "X-Snowwind-Budget-Millis: 2500\r\n", 2, "{");
			stop();
			awaitNoMoreConnections();
			service().faults(PlainFaults.NONE);
			caller.getOutputStream().write('}');
			CallerAnswer answer = CallerAnswer.read(caller.getInputStream());
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.headers()).containsEntry("connection", "close");
		}
	}

	@Test
	void aRequestWhoseBodyDoesNotComeInTimeIsToldThatItDidNotRun() throws Exception {
		try (Socket caller = connect()) {
			send(caller, "POST /v1/services/desk/charge", StandInPlainService.TAG + ": halted\r\n", 2, "{");
			awaitOpen();
			stop();
			CallerAnswer answer = CallerAnswer.read(caller.getInputStream());
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.headers()).containsEntry("x-snowwind-outcome", "not-run")
				.containsEntry("connection", "close");
			caller.getOutputStream().write('}');
			this.stopped.join();
			assertThat(this.fleet.effects()).doesNotContainKey("halted");
		}
	}

	@Test
	void whoeverHearsOfAnEntryThatStopsHearsToLeaveIt() throws Exception {
		try (Socket slow = connect(); Socket caller = connect()) {
			lookUp(caller);
			assertThat(CallerAnswer.read(caller.getInputStream()).headers()).doesNotContainKey("connection");
			slowCharge(slow, "slow");
			service().faults(PlainFaults.NONE);
			stop();
			awaitDraining();
			lookUp(caller);
			CallerAnswer answer = CallerAnswer.read(caller.getInputStream());
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.headers()).containsEntry("connection", "close");
		}
	}

	@Test
	void anIdleConnectionIsClosedWhenTheStopIsKnownAndNotAtItsEnd() throws Exception {
		try (Socket slow = connect(); Socket idle = connect()) {
			lookUp(idle);
			assertThat(CallerAnswer.read(idle.getInputStream()).status()).isEqualTo(200);
			slowCharge(slow, "slow");
			stop();
			assertThat(idle.getInputStream().read()).isEqualTo(-1);
			assertThat(this.stopped).isNotDone();
			assertThat(CallerAnswer.read(slow.getInputStream()).status()).as("the slow request goes on").isEqualTo(504);
		}
	}

	private void awaitOpen() throws InterruptedException {
		assertThat(ProcessFleet.eventually(() -> admin(this.entry.addresses().admin(), "/metrics").body()
			.contains("snowwind_entry_open_requests 1.0"))).isTrue();
	}

	private void awaitDraining() throws InterruptedException {
		assertThat(ProcessFleet.eventually(() -> admin(this.entry.addresses().admin(), "/readyz").status() != 200))
			.isTrue();
	}

	private void awaitNoMoreConnections() throws InterruptedException {
		assertThat(ProcessFleet.eventually(() -> {
			try (Socket late = connect()) {
				return !late.isConnected();
			}
			catch (IOException ex) {
				return true;
			}
		})).isTrue();
	}

}
