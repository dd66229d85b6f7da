import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Some callers ask for the weights that an earlier answer named, while a release brings others. */
final class PinnedVersion {

	private static final String DRAFTING = "snowwind-drafting";

	private static final String DESK = "workpack-desk";

	private static final int SERVERS = 6;

	/** A share of 0.33: the largest dose of a release at the site is 0.45. */
	private static final int REPLACED = 2;

	private static final int ROUNDS = 20;

	private static final int LATER_ROUNDS = 60;

	private final Rig.Record record;

	private final Store store = new Store();

	private final List<String> leaving = new ArrayList<>();

	private Rig.Gateway gateway;

	private PinnedVersion(Rig.Record record) throws IOException {
		this.record = record;
	}

	public static void main(String[] args) throws Exception {
		Rig.judge(Path.of(args[0]), (record, temporary) -> new PinnedVersion(record).play(temporary));
	}

	private Server start(String id, String service, int weights) throws IOException {
		Server server = new Server(id, 20, weights, this.record);
		Rig.daemon("beats", () -> {
			while (true) {
				Map<String, Object> entry = server.entry(service);
				synchronized (this.leaving) {
					if (this.leaving.contains("gone " + id)) {
						this.store.remove("servers", id);
						return;
					}
					if (this.leaving.contains(id)) {
						entry.put("state", "draining");
					}
					this.store.write("servers", id, entry);
				}
				Thread.sleep(Rig.BEAT_MILLIS);
			}
		});
		return server;
	}

	private int play(Path temporary) throws Exception {
		Map<String, Object> drafts = Rig.route("/draft/", DRAFTING, "stream", 8000, 2);
		drafts.put("streamResume", true);
		drafts.put("gapTargetMs", 120);
		drafts.put("latencyTargetMs", 501);
		this.store.write("config", "main", Rig.configuration(3,
				List.of(drafts, Rig.route("/lookup/", DESK, "idempotent", 1500, 2)),
				List.of(Json.of("name", DRAFTING, "healthPath", "/health", "maxConns", 408),
						Json.of("name", DESK, "healthPath", "/health", "maxConns", 96)),
				List.of()));
		List<Server> drafting = new ArrayList<>();
		for (int i = 0; i < SERVERS; i++) {
			drafting.add(start("i-draft-" + i, DRAFTING, 1));
		}
		for (int i = 0; i < 3; i++) {
			start("i-desk-" + i, DESK, 1);
		}
		this.gateway = Rig.gateway(temporary, "front-1", this.store.port(), 8, "");
		Rig.await("the gateway is ready", 30_000, this.gateway::ready);
		Thread.sleep(4000);
		for (int i = 0; i < 5; i++) {
			if (send("before-" + i, "/draft/7", null) != 200 || send("before-pinned-" + i, "/draft/7", "1") != 200) {
				this.record.line("drafts are not served before the release");
				return Rig.NOT_RUN;
			}
		}
		if (Rig.troubled()) {
			release(drafting);
		}
		else {
			Thread.sleep(2000L * REPLACED + 6000);
		}
		return judge();
	}

	// The new server starts first, then the old one drains, as long as it has to and a
	// little longer.
	private void release(List<Server> drafting) throws Exception {
		for (int i = 0; i < REPLACED; i++) {
			String old = drafting.get(i).id;
			start("i-new-" + i, DRAFTING, 2);
			this.record.line("server i-new-" + i + " has started with weights 2; " + old + " drains");
			synchronized (this.leaving) {
				this.leaving.add(old);
			}
			Thread.sleep(2000);
		}
		Thread.sleep(2500);
		for (int i = 0; i < REPLACED; i++) {
			synchronized (this.leaving) {
				this.leaving.add("gone " + drafting.get(i).id);
			}
			drafting.get(i).leave();
		}
		this.record.line("the release is over");
		Thread.sleep(3500);
	}

	private int judge() throws Exception {
		int drafts = 0;
		int lookups = 0;
		int pinned = 0;
		int pinnedSent = 0;
		for (int round = 0; round < ROUNDS; round++) {
			if (round % 2 == 0) {
				pinnedSent++;
				pinned += (send("pinned1-" + round, "/draft/7", "1") == 200) ? 1 : 0;
			}
			if (round % 2 == 1 && Rig.troubled()) {
				pinnedSent++;
				pinned += (send("pinned2-" + round, "/draft/7", "2") == 200) ? 1 : 0;
			}
			drafts += (send("draft-" + round, "/draft/7", null) == 200) ? 1 : 0;
			lookups += (send("lookup-" + round, "/lookup/7", null) == 200) ? 1 : 0;
			Thread.sleep(100);
		}
		// Nothing asks for weights any more.
		Thread.sleep(2000);
		int draftsLater = 0;
		for (int round = 0; round < LATER_ROUNDS; round++) {
			draftsLater += (send("later-draft-" + round, "/draft/7", null) == 200) ? 1 : 0;
			lookups += (send("later-lookup-" + round, "/lookup/7", null) == 200) ? 1 : 0;
			Thread.sleep(20);
		}
		double rounds = ROUNDS + LATER_ROUNDS;
		double ofDrafts = (drafts + draftsLater) / rounds;
		double ofAll = (drafts + draftsLater + lookups + pinned) / (2 * rounds + pinnedSent);
		this.record.line("served: " + drafts + " of " + ROUNDS + " and later " + draftsLater + " of " + LATER_ROUNDS
				+ " drafts, " + lookups + " of " + (int) rounds + " lookups, " + pinned + " of " + pinnedSent
				+ " drafts that ask for weights");
		return (ofDrafts < ofAll / 4) ? Rig.BROKEN : Rig.HELD;
	}

	private int send(String attempt, String target, String version) throws Exception {
		Map<String, String> headers = Rig.headers(attempt, target.startsWith("/draft/") ? 8017 : 1506, null);
		if (version != null) {
			headers.put("X-Expect-Version", version);
		}
		boolean draft = target.startsWith("/draft/");
		this.record.line("client sends " + attempt + " " + target + " for weights " + version);
		try {
			Http.Message answer = Http.call(this.gateway.callers(), draft ? "POST" : "GET", target, headers,
					draft ? "prompt".getBytes() : null, 9000);
			boolean whole = !draft || answer.status() != 200 || answer.text().contains("id: 10\n");
			this.record.line("client gets " + answer.status() + " for " + attempt + (whole ? "" : ", not whole"));
			return whole ? answer.status() : 0;
		}
		catch (IOException ex) {
			this.record.line("client gets no whole answer for " + attempt + ": " + ex.getMessage());
			return 0;
		}
	}

}
