package org.snowwind.app.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.TestInfo;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snowwind.http.DataLoop;
import org.snowwind.platform.standin.CallerHeaders;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests gateways that callers and servers press to the limits of their memory. One of
 * them bounds what it holds for callers, the other one does not.
 */
class MemoryPressureTests {

	private static final Path FOLDER = Path.of(System.getProperty("snowwind.root"), "app/target/memory-pressure");

	private static final List<List<String>> FEATURES = List.of(List.of("places"), List.of("places", "pressure"));

	private static final List<CallKind> SMALL = List.of(CallKind.ONCE, CallKind.AGAIN, CallKind.STREAM);

	/** Within the bound on one answer, above the bound on the bytes held for callers. */
	private static final int ANSWER_BYTES = 7_500_000;

	private static final int SLOW_READERS = 12;

	private static final int READS = 6;

	private static final int UPLOADERS = 24;

	private static final int UPLOAD_BYTES = 1 << 20;

	private static final int UPLOAD_PART_BYTES = 64 * 1024;

	private static final long UPLOAD_PAUSE_MILLIS = 20;

	private static final int SLOW_READ_BYTES = 4096;

	private static final long SLOW_READ_PAUSE_MILLIS = 50;

	private static final long STALL_MILLIS = 1500;

	private static final long LOAD_MILLIS = 8000;

	private static final long SMALL_EVERY_MILLIS = 10;

	private static final long START_MILLIS = 10_000;

	private static final int PATIENCE_MILLIS = 10_000;

	private final DataLoop callerLoop = new DataLoop("memory-callers");

	private final ExecutorService callers = Executors.newCachedThreadPool();

	private final List<Socket> open = new CopyOnWriteArrayList<>();

	private final AtomicInteger sent = new AtomicInteger();

	private final Queue<String> uploads = new ConcurrentLinkedQueue<>();

	private volatile boolean loading = true;

	private SoakWorld world;

	private SoakCaller small;

	@BeforeEach
	void start(TestInfo test) throws Exception {
		Path folder = FOLDER
			.resolve(test.getTestMethod().orElseThrow().getName() + test.getDisplayName().substring(0, 3));
		this.world = new SoakWorld(Files.createDirectories(folder), FEATURES, new Random(1));
		this.small = new SoakCaller(this.callerLoop);
		for (SoakGateway gateway : this.world.gateways()) {
			for (CallKind kind : List.of(CallKind.ONCE, CallKind.AGAIN, CallKind.STREAM, CallKind.MOVING)) {
				awaitServed(gateway, kind);
			}
		}
		// Connections that were refused before the gateways listened do not count.
		this.small.close();
		this.small = new SoakCaller(this.callerLoop);
	}

	private void awaitServed(SoakGateway gateway, CallKind kind) throws Exception {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
		while (!this.small.send(gateway, kind, SoakWorld.KEY).get().served()) {
			assertThat(System.nanoTime()).as("the gateway serves in time").isLessThan(endNanos);
			TimeUnit.MILLISECONDS.sleep(100);
		}
	}

	@AfterEach
	void stop() throws Exception {
		this.loading = false;
		for (Socket socket : this.open) {
			socket.close();
		}
		this.callers.shutdownNow();
		this.small.close();
		this.world.close();
		this.callerLoop.close();
	}

	/** Leaves a server with large answers as the only one of a service. */
	private LargeAnswerServer addLargeServer(SoakGateway gateway) throws Exception {
		for (SoakWorld.SoakServer server : List.copyOf(this.world.servers())) {
			if (server.server().id().startsWith("desk-new")) {
				server.server().drain();
			}
		}
		LargeAnswerServer server = new LargeAnswerServer(this.world.store(), "desk-new", "desk-new-large",
				ANSWER_BYTES);
		this.world.reconfigure();
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
		Answer answer = readWhole(gateway);
		while (answer.bytes() != ANSWER_BYTES) {
			assertThat(System.nanoTime()).as("large answers come in time, last %s", answer).isLessThan(endNanos);
			TimeUnit.MILLISECONDS.sleep(100);
			answer = readWhole(gateway);
		}
		return server;
	}

	private Socket send(SoakGateway gateway, CallKind kind, int bodyBytes) throws IOException {
		String[] address = gateway.callers().split(":");
		String id = "m" + this.sent.incrementAndGet();
		Map<String, String> headers = new HashMap<>(CallerHeaders.of(id, PATIENCE_MILLIS, SoakWorld.KEY));
		headers.put("Host", SoakWorld.HOST);
		headers.put("Connection", "close");
		if (bodyBytes > 0) {
			headers.put("Content-Length", Integer.toString(bodyBytes));
		}
		String head = headers.entrySet()
			.stream()
			.map((header) -> header.getKey() + ": " + header.getValue() + "\r\n")
			.collect(Collectors.joining("", kind.method() + " " + kind.target(id) + " HTTP/1.1\r\n", "\r\n"));
		Socket socket = new Socket();
		this.open.add(socket);
		if (kind == CallKind.MOVING) {
			socket.setReceiveBufferSize(SLOW_READ_BYTES * 16);
		}
		socket.setSoTimeout(PATIENCE_MILLIS);
		socket.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])));
		socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
		return socket;
	}

	private Answer readWhole(SoakGateway gateway) {
		try (Socket socket = send(gateway, CallKind.MOVING, 0)) {
			return read(socket);
		}
		catch (IOException ex) {
			return new Answer("none", 0, ex.toString());
		}
	}

	private static Answer read(Socket socket) throws IOException {
		InputStream in = socket.getInputStream();
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return new Answer("none", 0, "end of input");
			}
			head.append((char) next);
		}
		int bytes = 0;
		byte[] block = new byte[UPLOAD_PART_BYTES];
		for (int count = in.read(block); count >= 0; count = in.read(block)) {
			bytes += count;
		}
		return new Answer(head.substring(9, 12), bytes, "");
	}

	private void readSlowly(SoakGateway gateway) {
		try (Socket socket = send(gateway, CallKind.MOVING, 0)) {
			while (this.loading && socket.getInputStream().readNBytes(SLOW_READ_BYTES).length > 0) {
				TimeUnit.MILLISECONDS.sleep(SLOW_READ_PAUSE_MILLIS);
			}
		}
		catch (IOException ex) {
			// The gateway may reset a connection that takes too little.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void upload(SoakGateway gateway) {
		while (this.loading) {
			try (Socket socket = send(gateway, CallKind.ONCE, UPLOAD_BYTES)) {
				byte[] part = new byte[UPLOAD_PART_BYTES];
				for (int bytes = 0; bytes < UPLOAD_BYTES; bytes += part.length) {
					socket.getOutputStream().write(part);
					TimeUnit.MILLISECONDS.sleep(UPLOAD_PAUSE_MILLIS);
				}
				this.uploads.add(read(socket).status());
			}
			catch (IOException ex) {
				this.uploads.add("broken");
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private static boolean ranOutOfMemory(String output) {
		return output.contains("OutOfMemoryError") || output.contains("Java heap space")
				|| output.contains("direct memory");
	}

	private void assertMemoryHeld() throws IOException {
		for (SoakGateway gateway : this.world.gateways()) {
			assertThat(gateway.process().running()).as("%s runs", gateway.name()).isTrue();
			assertThat(ranOutOfMemory(gateway.process().output())).as("%s ran out of memory", gateway.name()).isFalse();
		}
	}

	private static void note(String line) throws IOException {
		Files.writeString(FOLDER.resolve("summary.txt"), line + "\n", StandardOpenOption.CREATE,
				StandardOpenOption.APPEND);
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1 })
	void slowReadersOfLargeAnswersCostNoCallerThatReads(int index) throws Exception {
		SoakGateway gateway = this.world.gateways().get(index);
		List<Answer> answers = new ArrayList<>();
		try (LargeAnswerServer server = addLargeServer(gateway)) {
			for (int i = 0; i < SLOW_READERS; i++) {
				this.callers.execute(() -> readSlowly(gateway));
				TimeUnit.MILLISECONDS.sleep(STALL_MILLIS / SLOW_READERS);
			}
			TimeUnit.MILLISECONDS.sleep(STALL_MILLIS);
			for (int i = 0; i < READS; i++) {
				answers.add(readWhole(gateway));
			}
			note("reads " + index + ": " + answers + ", sent " + server.sent());
		}
		assertThat(answers).allMatch((answer) -> answer.bytes() == ANSWER_BYTES);
		assertMemoryHeld();
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1 })
	void uploadsSlowReadersAndAnswersWithoutEndTogetherLoseNoSmallRequest(int index) throws Exception {
		SoakGateway gateway = this.world.gateways().get(index);
		Set<String> atEndless;
		int answered;
		try (LargeAnswerServer large = addLargeServer(gateway);
				FaultyServer endless = new FaultyServer(this.world.store(), "desk", "endless", EndlessAnswer.CHUNKS)) {
			for (int i = 0; i < SLOW_READERS; i++) {
				this.callers.execute(() -> readSlowly(gateway));
			}
			for (int i = 0; i < UPLOADERS; i++) {
				this.callers.execute(() -> upload(gateway));
			}
			long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOAD_MILLIS);
			for (int i = 0; System.nanoTime() < endNanos; i++) {
				this.small.send(gateway, SMALL.get(i % SMALL.size()), SoakWorld.KEY);
				TimeUnit.MILLISECONDS.sleep(SMALL_EVERY_MILLIS);
			}
			this.loading = false;
			awaitAnswers();
			answered = large.sent();
			atEndless = endless.sent().stream().map(FaultyServer.Sent::requestId).collect(Collectors.toSet());
		}
		Map<String, Long> outcomes = this.small.calls()
			.stream()
			.collect(Collectors.groupingBy((call) -> call.kind() + " " + call.status() + " " + call.whole(),
					TreeMap::new, Collectors.counting()));
		Map<String, Long> uploaded = this.uploads.stream()
			.collect(Collectors.groupingBy((status) -> status, TreeMap::new, Collectors.counting()));
		note("all " + index + ": small " + outcomes + ", at endless " + atEndless.size() + ", uploads " + uploaded
				+ ", large " + answered);
		assertThat(this.uploads).as("uploads reach the bound on requests").contains("503");
		assertThat(this.small.open()).as("small requests without an end").isZero();
		assertThat(unanswered()).as("small requests without an answer").isEmpty();
		assertMemoryHeld();
	}

	private void awaitAnswers() throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * CallKind.STREAM.timeoutMillis());
		while (this.small.open() > 0 && System.nanoTime() < endNanos) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	private List<String> unanswered() {
		return this.small.calls()
			.stream()
			.filter((call) -> call.status() == 0 || !call.whole())
			.map(Call::describe)
			.toList();
	}

	/**
	 * What a caller got.
	 *
	 * @param status the status, {@code none} without an answer
	 * @param bytes the size of the body, in bytes
	 * @param fault what broke it off, empty if nothing did
	 */
	private record Answer(String status, int bytes, String fault) {

	}

}
