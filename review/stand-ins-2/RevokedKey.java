import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** The operator takes away the only key of the only tenant. */
final class RevokedKey {

	private static final String KEY = "n2ctnfzs989anu6wsjnb";

	private static final String NEVER_GIVEN = "q7x0never0given0key0";

	private RevokedKey() {
	}

	public static void main(String[] args) throws Exception {
		Rig.judge(Path.of(args[0]), RevokedKey::play);
	}

	private static Map<String, Object> configuration(long version, List<Object> keys) {
		return Rig.configuration(version, List.of(Rig.route("/orders/", "workpack-desk", "non_idempotent", 1000, 1)),
				List.of(Json.of("name", "workpack-desk", "healthPath", "/health", "maxConns", 100)),
				List.of(Json.of("name", "hule930", "apiKeys", keys)));
	}

	private static int play(Rig.Record record, Path temporary) throws Exception {
		Store store = new Store();
		store.write("config", "main", configuration(3, List.of(KEY)));
		for (int i = 0; i < 3; i++) {
			Server server = new Server("i-" + i, 20, 1, record);
			Rig.daemon("beats", () -> {
				while (true) {
					store.write("servers", server.id, server.entry("workpack-desk"));
					Thread.sleep(Rig.BEAT_MILLIS);
				}
			});
		}
		Rig.Gateway gateway = Rig.gateway(temporary, "front-1", store.port(), 8, "");
		Rig.await("the gateway is ready", 30_000, gateway::ready);
		Thread.sleep(4000);
		if (send(record, gateway, "before", KEY) != 200 || send(record, gateway, "before-unknown", NEVER_GIVEN) != 401) {
			record.line("keys are not in force");
			return Rig.NOT_RUN;
		}
		if (Rig.troubled()) {
			store.write("config", "main", configuration(7, List.of()));
			record.line("the store has acknowledged version 7, in which tenant hule930 has no key");
		}
		else {
			store.write("config", "main", configuration(7, List.of("another0key0of0hule930")));
			record.line("the store has acknowledged version 7, in which tenant hule930 has another key");
		}
		// Twice the bound on configurations, and more than stableWindowMs.
		Thread.sleep(2 * Rig.CONFIG_MILLIS);
		int broken = 0;
		for (int i = 0; i < 10; i++) {
			broken += (send(record, gateway, "revoked-" + i, KEY) == 200) ? 1 : 0;
			broken += (send(record, gateway, "never-given-" + i, NEVER_GIVEN) == 200) ? 1 : 0;
			broken += (send(record, gateway, "without-" + i, null) == 200) ? 1 : 0;
			Thread.sleep(200);
		}
		record.line(broken + " of 30 requests without a key in force have run");
		return (broken > 0) ? Rig.BROKEN : Rig.HELD;
	}

	private static int send(Rig.Record record, Rig.Gateway gateway, String attempt, String key) throws Exception {
		Map<String, String> headers = Rig.headers(attempt, 1000, key);
		record.line("client sends " + attempt + " with key " + key);
		Http.Message answer = Http.call(gateway.callers(), "POST", "/orders/7", headers, "order".getBytes(), 2000);
		record.line("client gets " + answer.status() + " for " + attempt + ": " + answer.text());
		return answer.status();
	}

}
