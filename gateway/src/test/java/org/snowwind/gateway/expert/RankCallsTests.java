package org.snowwind.gateway.expert;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.limit.ServerCalls;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.http.client.JsonClient;
import org.snowwind.model.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What a rank is believed to have said or done is what it said to this very call.
 */
class RankCallsTests {

	private static final String SERVER = "run-1";

	/** Long enough that a busy machine does not decide what an order came to. */
	private static final long ORDER_MILLIS = 5000;

	private final Map<String, Long> backoffs = new ConcurrentHashMap<>();

	private final JsonClient client = new JsonClient(Map.of(), 500);

	private final RankCalls calls = new RankCalls(this.client, new FakeRankProtocol(),
			new ServerCalls(new SimpleMeterRegistry(), new ServerCalls.Restrictions(Map::of, () -> this.backoffs),
					this::onNotice, MonotonicClock.system()),
			ORDER_MILLIS);

	private final Queue<String> answers = new ConcurrentLinkedQueue<>();

	private ServerSocket socket;

	@BeforeEach
	void listen() throws IOException {
		this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		daemon(this::accept);
	}

	@AfterEach
	void close() throws IOException {
		this.client.close();
		this.socket.close();
	}

	private void onNotice(BackendIncarnation run, ServerNotice notice, long sentMillis) {
		this.backoffs.put(run.id(), sentMillis + notice.retryAfterMillis());
	}

	private static void daemon(Runnable work) {
		Thread thread = new Thread(work, "scripted-rank");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.socket.accept();
				daemon(() -> serve(connection));
			}
		}
		catch (IOException ex) {
			// The test has closed the server.
		}
	}

	// Answers each request, and before it the one before on the same connection again.
	private void serve(Socket connection) {
		try (connection) {
			ArrayDeque<String> before = new ArrayDeque<>();
			while (true) {
				String head = readRequest(connection);
				while (!before.isEmpty()) {
					write(connection, before.remove());
				}
				String own = head.contains(FakeRankProtocol.SERVER + ": " + SERVER) ? this.answers.remove()
						: answer(421, "");
				write(connection, own);
				before.add(own);
			}
		}
		catch (IOException ex) {
			// The client has closed the connection.
		}
	}

	private static String readRequest(Socket connection) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = connection.getInputStream().read();
			if (next < 0) {
				throw new IOException("closed");
			}
			head.append((char) next);
		}
		if (head.indexOf("POST") == 0) {
			// The body of every order is an empty object.
			connection.getInputStream().readNBytes(2);
		}
		return head.toString();
	}

	private static void write(Socket connection, String text) throws IOException {
		connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String answer(int status, String body) {
		return "HTTP/1.1 " + status + " Scripted\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
				+ "\r\n\r\n" + body;
	}

	private Rank rank(String serverId) {
		RankReport report = new RankReport("g", 1, 0, 1, true, 0, 1, 0, 0, RankReport.NOT_HELD,
				BackendIncarnation.UNKNOWN);
		return new Rank(BackendIncarnation.of(serverId), "127.0.0.1:" + this.socket.getLocalPort(), report);
	}

	private OrderResult order(String serverId, MapOrder order) {
		return this.calls.order(List.of(rank(serverId)), order, 1).get(0);
	}

	private long reportedStep() {
		BackendEntry server = new BackendEntry(SERVER, BackendIncarnation.UNKNOWN, "model", "127.0.0.1",
				this.socket.getLocalPort(), "dc", 8, false);
		return this.calls.reports(List.of(server)).get(0).report().step();
	}

	/**
	 * A rank was believed to have armed a map that it refused: the late second answer to
	 * the order before came just ahead of the refusal, on the connection that both orders
	 * went over. Proved by this server, whose refusal was read as the order taken.
	 */
	@Test
	void anOrderIsNotDoneOnTheSecondAnswerToAnother() {
		this.answers.add(answer(200, ""));
		this.answers.add(answer(409, ""));
		assertThat(order(SERVER, new MapOrder.Hold(5))).isEqualTo(OrderResult.TAKEN);
		assertThat(order(SERVER, new MapOrder.Arm(2, 5))).isEqualTo(OrderResult.UNFIT);
	}

	@Test
	void aReportIsNotTheSecondAnswerToAnother() {
		this.answers.add(answer(200, "{\"step\":1}"));
		this.answers.add(answer(200, "{\"step\":2}"));
		assertThat(reportedStep()).isEqualTo(1);
		assertThat(reportedStep()).isEqualTo(2);
	}

	@Test
	void anOrderForAnotherRunOfTheServerIsNotTaken() {
		assertThat(order("run-0", new MapOrder.Hold(5))).isEqualTo(OrderResult.RESTARTED);
	}

	private List<Rank> reportsOfBorn(long bornMillis, String answeredBorn) {
		this.answers.add(answer(200, "{\"step\":1" + answeredBorn + "}"));
		BackendEntry server = new BackendEntry(SERVER, bornMillis, "model", "127.0.0.1", this.socket.getLocalPort(),
				"dc", 8, false);
		return this.calls.reports(List.of(server));
	}

	@Test
	void aReportOfAnotherLifeOfTheServerIsNotBelieved() {
		assertThat(reportsOfBorn(1000, ",\"born\":2000")).isEmpty();
		assertThat(reportsOfBorn(2000, ",\"born\":1000")).isEmpty();
		assertThat(reportsOfBorn(1000, ",\"born\":1000")).hasSize(1);
		assertThat(reportsOfBorn(1000, "")).hasSize(1);
	}

	@Test
	void anOrderThatAnotherLifeOfTheServerTookIsNotTaken() {
		this.answers.add(answer(200, "{\"born\":2000}"));
		this.answers.add(answer(200, "{\"born\":1000}"));
		Rank rank = new Rank(new BackendIncarnation(SERVER, 1000), "127.0.0.1:" + this.socket.getLocalPort(),
				rank(SERVER).report());
		assertThat(this.calls.order(List.of(rank), new MapOrder.Hold(5), 1)).containsExactly(OrderResult.RESTARTED);
		assertThat(this.calls.order(List.of(rank), new MapOrder.Hold(5), 1)).containsExactly(OrderResult.TAKEN);
	}

	private List<Rank> reports() {
		return this.calls.reports(List.of(new BackendEntry(SERVER, BackendIncarnation.UNKNOWN, "model", "127.0.0.1",
				this.socket.getLocalPort(), "dc", 8, false)));
	}

	@Test
	void malformedResponseIsNeitherReportNorResultOfAnOrder() {
		for (String statusLine : List.of("HTTP/1.1 000 X", "HTTP/1.1 0200 X", "HTTP/1.1 200 X\r\nX Bad: v")) {
			this.answers.add(answer(200, "{\"step\":1}").replace("HTTP/1.1 200 Scripted", statusLine));
			assertThat(reports()).isEmpty();
			this.answers.add(answer(200, "").replace("HTTP/1.1 200 Scripted", statusLine));
			this.answers.add(answer(200, "").replace("HTTP/1.1 200 Scripted", statusLine));
			assertThat(order(SERVER, new MapOrder.Hold(5))).isEqualTo(OrderResult.UNKNOWN);
			this.answers.clear();
		}
	}

	private static String rejection() {
		return "HTTP/1.1 503 Scripted\r\nt-retry-after: 60000\r\nContent-Length: 4\r\n\r\nbusy";
	}

	@Test
	void rankIsNotAskedBeforeItsRetryAfterExpires() {
		this.answers.add(rejection());
		this.answers.add(answer(200, "{\"step\":1}"));
		assertThat(reports()).isEmpty();
		assertThat(this.backoffs).containsOnlyKeys(SERVER);
		assertThat(reports()).isEmpty();
		assertThat(order(SERVER, new MapOrder.Hold(5))).isEqualTo(OrderResult.UNKNOWN);
		assertThat(this.answers).as("nothing more was sent").hasSize(1);
		this.backoffs.clear();
		assertThat(reports()).hasSize(1);
	}

	@Test
	void rankThatBacksOffGetsOnlyTwoOrdersThatCompleteSwitch() {
		this.backoffs.put(SERVER, Long.MAX_VALUE);
		for (int i = 0; i < 3; i++) {
			this.answers.add(answer(200, ""));
		}
		assertThat(order(SERVER, new MapOrder.Arm(2, 5))).isEqualTo(OrderResult.TAKEN);
		assertThat(order(SERVER, new MapOrder.Release(5))).isEqualTo(OrderResult.TAKEN);
		assertThat(order(SERVER, new MapOrder.Release(5))).isEqualTo(OrderResult.UNKNOWN);
		assertThat(this.answers).hasSize(1);
	}

}
