import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The operator adds two tenants whose names differ in letters beyond Latin 1. */
final class TenantNames {

	private TenantNames() {
	}

	public static void main(String[] args) throws Exception {
		Rig.judge(Path.of(args[0]), TenantNames::play);
	}

	private static Map<String, Object> configuration(long version, List<Object> tenants) {
		return Rig.configuration(version, List.of(Rig.route("/orders/", "workpack-desk", "non_idempotent", 1500, 1)),
				List.of(Json.of("name", "workpack-desk", "healthPath", "/health", "maxConns", 100)), tenants);
	}

	private static int play(Rig.Record record, Path temporary) throws Exception {
		// Two common family names: with S caron and with Z caron at the start.
		String first = Rig.troubled() ? "pekara-\u0160ari\u0107" : "pekara-Saric";
		String second = Rig.troubled() ? "pekara-\u017dari\u0107" : "pekara-Zaric";
		Object standing = Json.of("name", "hule930", "apiKeys", List.of("key0of0hule930"));
		Store store = new Store();
		store.write("config", "main", configuration(3, List.of(standing)));
		Map<String, String> tenantOfAttempt = new HashMap<>();
		for (int i = 0; i < 3; i++) {
			Server server = new Server("i-" + i, 20, 1, record);
			server.onRun((attempt, tenant) -> {
				synchronized (tenantOfAttempt) {
					tenantOfAttempt.put(attempt, String.valueOf(tenant));
				}
			});
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
		if (send(record, gateway, "before", "key0of0hule930") != 200
				|| !"hule930".equals(tenantOfAttempt.get("before"))) {
			record.line("keys are not in force");
			return Rig.NOT_RUN;
		}
		store.write("config", "main", configuration(7, List.of(standing, Json.of("name", first, "apiKeys",
				List.of("key0of0the0first")), Json.of("name", second, "apiKeys", List.of("key0of0the0second")))));
		record.line("the store has acknowledged version 7 with the tenants " + Json.write(List.of(first, second)));
		// Twice the bound on configurations, and more than stableWindowMs.
		Thread.sleep(2 * Rig.CONFIG_MILLIS);
		int broken = 0;
		for (int i = 0; i < 10; i++) {
			int one = send(record, gateway, "first-" + i, "key0of0the0first");
			int other = send(record, gateway, "second-" + i, "key0of0the0second");
			if (one != 200 || other != 200) {
				record.line("a key of version 7 is not in force");
				return Rig.NOT_RUN;
			}
			String ofFirst = tenantOfAttempt.get("first-" + i);
			String ofSecond = tenantOfAttempt.get("second-" + i);
			// Whatever the encoding is: two tenants with the same value are one of them
			// twice, or neither.
			if (ofFirst.equals(ofSecond)) {
				broken++;
				record.line("requests of two tenants have run as tenant '" + ofFirst + "'");
			}
			Thread.sleep(100);
		}
		record.line(broken + " of 10 pairs of requests of two tenants have run as one tenant");
		return (broken > 0) ? Rig.BROKEN : Rig.HELD;
	}

	private static int send(Rig.Record record, Rig.Gateway gateway, String attempt, String key) throws Exception {
		record.line("client sends " + attempt + " with key " + key);
		Http.Message answer = Http.call(gateway.callers(), "POST", "/orders/7", Rig.headers(attempt, 1500, key),
				"order".getBytes(StandardCharsets.UTF_8), 3000);
		record.line("client gets " + answer.status() + " for " + attempt + ": " + answer.text());
		return answer.status();
	}

}
