package org.snowwind.standin;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.http.DataLoop;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.Responses;
import org.snowwind.model.Json;

/**
 * The platform's object API and VM list, in memory.
 *
 * <p>
 * Versions, conditional writes, watches by long poll with gaps, counted calls, a rate
 * limit, outage, slowness, and answers lost after the effect. {@code PUT /faults}
 * switches faults.
 */
public final class StandInPlatform extends HttpStandIn {

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int GONE = 410;

	private static final int TOO_MANY = 429;

	private static final int UNAVAILABLE = 503;

	private static final int MAX_VALUE_BYTES = 1 << 20;

	private static final String OBJECTS = "/v1/objects/";

	private static final String VMS = "/v1/vms";

	private final ObjectTable table = new ObjectTable();

	private final List<Watcher> watchers = new ArrayList<>();

	private final TreeMap<String, JsonNode> vms = new TreeMap<>();

	private volatile PlatformFaults faults = PlatformFaults.NONE;

	private final AtomicLong calls = new AtomicLong();

	private long secondStartMillis;

	private int callsThisSecond;

	private volatile long vmLagMillis;

	/**
	 * Creates a platform without objects.
	 * @param loop the thread that carries it
	 */
	public StandInPlatform(DataLoop loop) {
		super(loop);
	}

	/**
	 * Switches faults.
	 * @param next what is wrong from now on
	 */
	public void faults(PlatformFaults next) {
		this.faults = next;
		loop().run(() -> this.table.forget(next.historySize()));
		if (next.outage()) {
			loop().run(this::breakWatches);
		}
	}

	/**
	 * Copies all objects.
	 * @return restores them: changes since then are lost, their revisions are given out
	 * again, and waiting calls are broken off
	 */
	public Runnable copy() {
		CompletableFuture<ObjectTable.Copy> copy = new CompletableFuture<>();
		loop().run(() -> copy.complete(this.table.copy()));
		return () -> loop().run(() -> {
			this.table.restore(copy.join());
			breakWatches();
		});
	}

	/**
	 * Returns what is wrong.
	 * @return the faults
	 */
	public PlatformFaults faults() {
		return this.faults;
	}

	/**
	 * Counts the calls so far, a waiting watch as one.
	 * @return a number of calls
	 */
	public long calls() {
		return this.calls.get();
	}

	/**
	 * Makes the VM list lag.
	 * @param millis how late a change of the list shows, in milliseconds
	 */
	public void vmLag(long millis) {
		this.vmLagMillis = millis;
	}

	@Override
	void handle(HttpExchange exchange) {
		if ("/faults".equals(exchange.path())) {
			changeFaults(exchange);
			return;
		}
		this.calls.incrementAndGet();
		if (this.faults.outage()) {
			exchange.respond(UNAVAILABLE, Map.of(), new byte[0]);
			return;
		}
		if (overRate()) {
			exchange.respond(TOO_MANY, Map.of(), new byte[0]);
			return;
		}
		if (this.faults.slowMillis() > 0) {
			loop().later(() -> route(exchange), this.faults.slowMillis());
			return;
		}
		route(exchange);
	}

	private boolean overRate() {
		int limit = this.faults.callsPerSecond();
		long nowMillis = System.nanoTime() / 1_000_000;
		if (nowMillis - this.secondStartMillis >= 1000) {
			this.secondStartMillis = nowMillis;
			this.callsThisSecond = 0;
		}
		this.callsThisSecond++;
		return limit > 0 && this.callsThisSecond > limit;
	}

	private void route(HttpExchange exchange) {
		String path = exchange.path();
		Map<String, String> query = query(exchange.target());
		if (path.startsWith(OBJECTS)) {
			routeObject(exchange, decode(path.substring(OBJECTS.length())));
		}
		else if ("/v1/objects".equals(path)) {
			list(exchange, query.getOrDefault("prefix", ""));
		}
		else if ("/v1/watch".equals(path)) {
			watch(exchange, query);
		}
		else if (path.startsWith(VMS)) {
			routeVms(exchange, path);
		}
		else {
			exchange.respond(NOT_FOUND, Map.of(), new byte[0]);
		}
	}

	private void routeObject(HttpExchange exchange, String key) {
		switch (exchange.method()) {
			case "GET" -> {
				Optional<ObjectTable.Row> row = this.table.get(key);
				json(exchange, row.isPresent() ? OK : NOT_FOUND, row.<Object>map((found) -> found).orElse(Map.of()));
			}
			case "PUT" -> exchange.readBody(MAX_VALUE_BYTES,
					(body) -> parse(exchange, body).ifPresent((value) -> write(exchange, key, value)));
			case "DELETE" -> write(exchange, key, null);
			default -> exchange.respond(BAD_REQUEST, Map.of(), new byte[0]);
		}
	}

	private void write(HttpExchange exchange, String key, JsonNode value) {
		long expected = Long.parseLong(Optional.ofNullable(exchange.header("X-Expected-Revision")).orElse("0"));
		Optional<ObjectTable.Row> written = this.table.write(key, expected, value, this.faults.historySize());
		if (written.isEmpty()) {
			long standing = this.table.get(key).map(ObjectTable.Row::revision).orElse(0L);
			json(exchange, CONFLICT, Map.of("revision", standing));
			return;
		}
		wakeWatchers();
		if (this.faults.lostAnswers() > 0) {
			this.faults = this.faults.withLostAnswers(this.faults.lostAnswers() - 1);
			exchange.abort();
			return;
		}
		json(exchange, OK, Map.of("revision", written.get().revision()));
	}

	private void list(HttpExchange exchange, String prefix) {
		json(exchange, OK, Map.of("revision", this.table.revision(), "objects", this.table.list(prefix)));
	}

	private void watch(HttpExchange exchange, Map<String, String> query) {
		String prefix = query.getOrDefault("prefix", "");
		long after = Long.parseLong(query.getOrDefault("after", "0"));
		long waitMillis = Long.parseLong(query.getOrDefault("waitMillis", "0"));
		Watcher watcher = new Watcher(exchange, prefix, after);
		if (answerWatch(watcher, false)) {
			return;
		}
		this.watchers.add(watcher);
		exchange.onGone(() -> this.watchers.remove(watcher));
		loop().later(() -> {
			if (this.watchers.remove(watcher)) {
				answerWatch(watcher, true);
			}
		}, waitMillis);
	}

	private boolean answerWatch(Watcher watcher, boolean evenIfEmpty) {
		Optional<List<ObjectTable.Row>> changes = this.table.changes(watcher.prefix(), watcher.after());
		if (changes.isEmpty()) {
			watcher.exchange().respond(GONE, era(), new byte[0]);
			return true;
		}
		if (changes.get().isEmpty() && !evenIfEmpty) {
			return false;
		}
		json(watcher.exchange(), OK, Map.of("objects", changes.get()));
		return true;
	}

	private Map<String, String> era() {
		return Map.of("X-Store-Era", Long.toString(this.table.era()));
	}

	private void json(HttpExchange exchange, int status, Object value) {
		Map<String, String> headers = new HashMap<>(era());
		headers.put("Content-Type", "application/json");
		try {
			exchange.respond(status, headers, Json.MAPPER.writeValueAsBytes(value));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("our own types always serialize", ex);
		}
	}

	private void wakeWatchers() {
		this.watchers.removeIf((watcher) -> answerWatch(watcher, false));
	}

	private void breakWatches() {
		this.watchers.forEach((watcher) -> watcher.exchange().abort());
		this.watchers.clear();
	}

	private void routeVms(HttpExchange exchange, String path) {
		if ("GET".equals(exchange.method())) {
			Responses.json(exchange, OK, Map.of("vms", this.vms.values()));
			return;
		}
		String name = path.substring(Math.min(path.length(), VMS.length() + 1));
		exchange.readBody(MAX_VALUE_BYTES, (body) -> parse(exchange, body).ifPresent((vm) -> {
			loop().later(() -> showVm(name, vm), this.vmLagMillis);
			Responses.json(exchange, OK, Map.of());
		}));
	}

	private void showVm(String name, JsonNode vm) {
		if (vm.isNull()) {
			this.vms.remove(name);
		}
		else {
			this.vms.put(name, vm);
		}
	}

	private void changeFaults(HttpExchange exchange) {
		if ("GET".equals(exchange.method())) {
			Responses.json(exchange, OK, this.faults);
			return;
		}
		exchange.readBody(MAX_VALUE_BYTES, (body) -> parse(exchange, body).ifPresent((json) -> {
			PlatformFaults old = this.faults;
			faults(new PlatformFaults(json.path("outage").asBoolean(old.outage()),
					json.path("slowMillis").asLong(old.slowMillis()), json.path("lostAnswers").asInt(old.lostAnswers()),
					json.path("callsPerSecond").asInt(old.callsPerSecond()),
					json.path("historySize").asInt(old.historySize())));
			Responses.json(exchange, OK, this.faults);
		}));
	}

	private static Optional<JsonNode> parse(HttpExchange exchange, byte[] body) {
		try {
			return Optional.of(Json.MAPPER.readTree(body));
		}
		catch (IOException ex) {
			exchange.respond(BAD_REQUEST, Map.of(), new byte[0]);
			return Optional.empty();
		}
	}

	private static Map<String, String> query(String target) {
		Map<String, String> parameters = new HashMap<>();
		int start = target.indexOf('?');
		if (start < 0) {
			return parameters;
		}
		for (String pair : target.substring(start + 1).split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				parameters.put(pair.substring(0, equals), decode(pair.substring(equals + 1)));
			}
		}
		return parameters;
	}

	private static String decode(String text) {
		return URLDecoder.decode(text, StandardCharsets.UTF_8);
	}

	private record Watcher(HttpExchange exchange, String prefix, long after) {
	}

}
