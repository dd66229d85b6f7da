import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Many users come at once and keep their connections; some seconds later a few more come. */
final class FullOfCallers {

	private static final int USUAL = 1250;

	/** The largest dose at the site: 1.7 times the traffic for three seconds. */
	private static final double BURST = 1.7;

	private static final long BURST_MILLIS = 3000;

	private static final int WORKERS = 40;

	private static final int NEW_CALLERS = 10;

	private static final long STABLE_WINDOW_MILLIS = 4000;

	private static final long MARGIN_MILLIS = 1500;

	/** Less than four fifths of the idle timeout of the configuration, 10 s. */
	private static final long CYCLE_MILLIS = 6000;

	/** The last callers keep their connections so long after their only request. */
	private static final long KEEP_MILLIS = 8000;

	private final Rig.Record record;

	private final Store store = new Store();

	private final AtomicInteger held = new AtomicInteger();

	private final AtomicInteger lost = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private Rig.Gateway gateway;

	private FullOfCallers(Rig.Record record) throws IOException {
		this.record = record;
	}

	public static void main(String[] args) throws Exception {
		Rig.judge(Path.of(args[0]), (record, temporary) -> new FullOfCallers(record).play(temporary));
	}

	private int play(Path temporary) throws Exception {
		this.store.write("config", "main",
				Rig.configuration(3, List.of(Rig.route("/lookup/", "desk-app", "idempotent", 4000, 2)),
						List.of(Json.of("name", "desk-app", "healthPath", "/health", "maxConns", 510)), List.of()));
		for (int i = 0; i < 20; i++) {
			Server server = new Server("i-" + i, 10, 1, Rig.Record.none());
			Rig.daemon("beats", () -> {
				while (true) {
					this.store.write("servers", server.id, server.entry("desk-app"));
					Thread.sleep(Rig.BEAT_MILLIS);
				}
			});
		}
		this.gateway = Rig.gateway(temporary, "front-1", this.store.port(), 8, "");
		Rig.await("the gateway is ready", 30_000, this.gateway::ready);
		Thread.sleep(2000);
		come(USUAL, true);
		this.record.line(this.held.get() + " callers have a connection that has carried a request");
		Thread.sleep(CYCLE_MILLIS);
		if (this.lost.get() > 0) {
			this.record.line(this.lost.get() + " requests of the usual callers have failed");
			return Rig.NOT_RUN;
		}
		if (Rig.troubled()) {
			int more = (int) Math.round((BURST - 1) * USUAL);
			long beganMillis = System.currentTimeMillis();
			come(more, false);
			long tookMillis = System.currentTimeMillis() - beganMillis;
			this.record.line(more + " more callers came within " + tookMillis + " ms; " + this.held.get()
					+ " in all have a connection that has carried a request, " + this.lost.get()
					+ " were closed unread");
			if (tookMillis > BURST_MILLIS) {
				this.record.line("the burst took too long");
				return Rig.NOT_RUN;
			}
		}
		return judge();
	}

	private void come(int callers, boolean goOn) throws Exception {
		CountDownLatch connected = new CountDownLatch(WORKERS);
		for (int worker = 0; worker < WORKERS; worker++) {
			String name = (goOn ? "usual-" : "burst-") + worker;
			int share = callers / WORKERS + ((worker < callers % WORKERS) ? 1 : 0);
			Rig.daemon("callers", () -> useConnections(name, share, connected, goOn));
		}
		connected.await();
	}

	// Each caller keeps its connection. The usual ones use it again every few seconds, the
	// others close it when it has been idle for some.
	private void useConnections(String worker, int count, CountDownLatch connected, boolean goOn) throws Exception {
		List<Socket> sockets = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			Socket socket = new Socket("127.0.0.1", this.gateway.callers());
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(5000);
			if (ask(socket, worker + "-" + i + "-0")) {
				sockets.add(socket);
			}
		}
		this.held.addAndGet(sockets.size());
		connected.countDown();
		if (!goOn) {
			Thread.sleep(KEEP_MILLIS);
			for (Socket socket : sockets) {
				socket.close();
			}
			return;
		}
		for (int round = 1; true; round++) {
			long nextMillis = System.currentTimeMillis() + CYCLE_MILLIS;
			for (int i = 0; i < sockets.size(); i++) {
				if (ask(sockets.get(i), worker + "-" + i + "-" + round)) {
					this.answered.incrementAndGet();
				}
			}
			Thread.sleep(Math.max(0, nextMillis - System.currentTimeMillis()));
		}
	}

	private boolean ask(Socket socket, String attempt) {
		try {
			socket.getOutputStream()
				.write(Http.message("GET /lookup/7 HTTP/1.1", Rig.headers(attempt, 4000, null), null));
			return Http.read(new BufferedInputStream(socket.getInputStream()), true).status() == 200;
		}
		catch (IOException ex) {
			this.lost.incrementAndGet();
			return false;
		}
	}

	// Ten callers try again and again, each time on a new connection.
	private int judge() throws Exception {
		int readyAnswers = 0;
		int questions = 0;
		int taken = 0;
		int closed = 0;
		int answeredBefore = this.answered.get();
		long beganMillis = System.currentTimeMillis();
		long untilMillis = beganMillis + STABLE_WINDOW_MILLIS + MARGIN_MILLIS;
		while (System.currentTimeMillis() < untilMillis) {
			for (int caller = 0; caller < NEW_CALLERS; caller++) {
				String attempt = "new-" + caller + "-" + taken + "-" + closed;
				try {
					Http.Message answer = Http.call(this.gateway.callers(), "GET", "/lookup/7",
							Rig.headers(attempt, 4000, null), null, 4000);
					taken++;
					this.record.line("new caller gets " + answer.status() + " for " + attempt);
				}
				catch (IOException ex) {
					closed++;
					this.record.line("new caller gets no answer for " + attempt + ": " + ex.getMessage());
				}
			}
			questions++;
			readyAnswers += this.gateway.ready() ? 1 : 0;
			Thread.sleep(500);
		}
		this.record.line("in " + (System.currentTimeMillis() - beganMillis) + " ms " + NEW_CALLERS
				+ " new callers were taken " + taken + " times and closed unread " + closed + " times; " + readyAnswers
				+ " of " + questions + " questions said ready; " + (this.answered.get() - answeredBefore)
				+ " requests were answered on kept connections");
		boolean saysReady = readyAnswers == questions;
		return (taken == 0 && saysReady) ? Rig.BROKEN : Rig.HELD;
	}

}
