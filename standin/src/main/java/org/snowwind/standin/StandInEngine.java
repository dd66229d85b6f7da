package org.snowwind.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.http.DataLoop;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.Responses;
import org.snowwind.model.Json;

/**
 * A model engine that batches continuously and streams tokens.
 *
 * <p>
 * In each step every request of the batch takes in a part of its prompt or gives one
 * token. Prompts with a cached prefix skip the taking in. A request can begin at an
 * offset of its answer, has a priority, and ends when its caller goes away.
 * {@code GET /v1/load} reports late. Orders carry a fencing number that is honoured or
 * ignored.
 */
public final class StandInEngine extends HttpStandIn {

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int CONFLICT = 409;

	private static final int NOT_FOUND = 404;

	private static final int MAX_BODY_BYTES = 8 << 20;

	private static final int PREFIX_CHARS = 32;

	private static final int REMEMBERED_PROMPTS = 4096;

	private final EngineSettings settings;

	private final PriorityQueue<Generation> waiting = new PriorityQueue<>();

	private final List<Generation> batch = new ArrayList<>();

	private final Map<String, Boolean> cachedPrefixes;

	private final AtomicLong begun = new AtomicLong();

	private final Queue<String> begunPrompts = new ConcurrentLinkedQueue<>();

	private final AtomicLong generatedTokens = new AtomicLong();

	private final AtomicLong cancelled = new AtomicLong();

	private volatile EngineFaults faults = EngineFaults.NONE;

	private volatile long highestFencing;

	private volatile int reportedLoad;

	private long arrivals;

	private boolean stepping;

	/**
	 * Creates an engine.
	 * @param loop the thread that carries it
	 * @param settings how it behaves
	 */
	public StandInEngine(DataLoop loop, EngineSettings settings) {
		super(loop);
		this.settings = settings;
		this.cachedPrefixes = new LinkedHashMap<>(16, 0.75f, true) {
			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
				return size() > settings.cachedPrefixes();
			}
		};
	}

	/**
	 * Switches faults.
	 * @param next what is wrong from now on
	 */
	public void faults(EngineFaults next) {
		this.faults = next;
	}

	/**
	 * Counts the requests that have begun.
	 * @return a number of requests
	 */
	public long begun() {
		return this.begun.get();
	}

	/**
	 * Returns the prompts of the requests that began lately.
	 * @return at most some thousand prompts, oldest first
	 */
	public List<String> begunPrompts() {
		return List.copyOf(this.begunPrompts);
	}

	private void remember(String prompt) {
		this.begunPrompts.add(prompt);
		if (this.begun.get() > REMEMBERED_PROMPTS) {
			this.begunPrompts.poll();
		}
	}

	/**
	 * Counts the tokens that were generated.
	 * @return a number of tokens
	 */
	public long generatedTokens() {
		return this.generatedTokens.get();
	}

	/**
	 * Counts the requests whose caller went away.
	 * @return a number of requests
	 */
	public long cancelled() {
		return this.cancelled.get();
	}

	@Override
	void handle(HttpExchange exchange) {
		switch (exchange.path()) {
			case "/v1/generate" -> exchange.readBody(MAX_BODY_BYTES, (body) -> generate(exchange, body));
			case "/v1/load" -> Responses.json(exchange, OK, Map.of("load", this.reportedLoad));
			case "/v1/orders" -> exchange.readBody(MAX_BODY_BYTES, (body) -> order(exchange, body));
			case "/faults" -> exchange.readBody(MAX_BODY_BYTES, (body) -> changeFaults(exchange, body));
			default -> exchange.respond(NOT_FOUND, Map.of(), new byte[0]);
		}
	}

	private void generate(HttpExchange exchange, byte[] body) {
		JsonNode request = parse(body);
		String prompt = request.path("prompt").asText("");
		int maxTokens = request.path("maxTokens").asInt(-1);
		if (maxTokens < 0) {
			exchange.respond(BAD_REQUEST, Map.of(), new byte[0]);
			return;
		}
		Generation generation = new Generation(exchange, prompt, maxTokens, intHeader(exchange, "X-Resume-At"),
				intHeader(exchange, "X-Priority"), this.arrivals++);
		this.begun.incrementAndGet();
		remember(prompt);
		exchange.onGone(() -> {
			generation.gone = true;
			this.cancelled.incrementAndGet();
		});
		this.waiting.add(generation);
		reportLater();
		if (!this.stepping) {
			this.stepping = true;
			loop().later(this::step, this.settings.stepMillis());
		}
	}

	private void step() {
		if (!this.faults.stalled()) {
			fillBatch();
			Iterator<Generation> members = this.batch.iterator();
			while (members.hasNext()) {
				if (!advance(members.next())) {
					members.remove();
					reportLater();
				}
			}
		}
		this.stepping = !this.batch.isEmpty() || !this.waiting.isEmpty();
		if (this.stepping) {
			loop().later(this::step, this.settings.stepMillis());
		}
	}

	private void fillBatch() {
		while (this.batch.size() < this.settings.maxBatch() && !this.waiting.isEmpty()) {
			Generation next = this.waiting.poll();
			boolean cached = this.cachedPrefixes.put(prefixOf(next.prompt), Boolean.TRUE) != null;
			next.prefillSteps = cached ? 0 : next.prompt.length() / this.settings.prefillBytesPerStep();
			this.batch.add(next);
		}
	}

	private boolean advance(Generation generation) {
		if (generation.gone) {
			return false;
		}
		if (generation.prefillSteps > 0) {
			generation.prefillSteps--;
			return true;
		}
		if (!generation.exchange.begun()) {
			generation.exchange.begin(OK, Map.of("Content-Type", "application/x-ndjson"));
		}
		if (breaksNow(generation)) {
			generation.exchange.abort();
			return false;
		}
		if (generation.next < generation.maxTokens) {
			send(generation, Tokens.line(generation.prompt, generation.next));
			generation.next++;
			this.generatedTokens.incrementAndGet();
			return true;
		}
		send(generation, Tokens.lastLine(generation.maxTokens));
		generation.exchange.end();
		return false;
	}

	private boolean breaksNow(Generation generation) {
		EngineFaults now = this.faults;
		boolean due = now.breakAfterTokens() > 0 && now.breaks() > 0
				&& generation.next - generation.start >= now.breakAfterTokens();
		if (due) {
			this.faults = new EngineFaults(now.stalled(), now.breakAfterTokens(), now.breaks() - 1);
		}
		return due;
	}

	private static void send(Generation generation, String line) {
		generation.exchange.write(line.getBytes(StandardCharsets.UTF_8));
	}

	private void order(HttpExchange exchange, byte[] body) {
		long fencing = parse(body).path("fencing").asLong();
		if (this.settings.honoursFencing() && fencing < this.highestFencing) {
			Responses.json(exchange, CONFLICT, Map.of("highestFencing", this.highestFencing));
			return;
		}
		this.highestFencing = Math.max(this.highestFencing, fencing);
		Responses.json(exchange, OK, Map.of("obeyed", true));
	}

	private void changeFaults(HttpExchange exchange, byte[] body) {
		JsonNode json = parse(body);
		this.faults = new EngineFaults(json.path("stalled").asBoolean(), json.path("breakAfterTokens").asInt(),
				json.path("breaks").asInt());
		Responses.json(exchange, OK, this.faults);
	}

	private void reportLater() {
		int load = this.batch.size() + this.waiting.size();
		loop().later(() -> this.reportedLoad = load, this.settings.loadLagMillis());
	}

	private static String prefixOf(String prompt) {
		return prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARS));
	}

	private static int intHeader(HttpExchange exchange, String name) {
		String value = exchange.header(name);
		return (value != null) ? Integer.parseInt(value) : 0;
	}

	private static JsonNode parse(byte[] body) {
		try {
			return Json.MAPPER.readTree(body);
		}
		catch (IOException ex) {
			return Json.MAPPER.missingNode();
		}
	}

	private static final class Generation implements Comparable<Generation> {

		private final HttpExchange exchange;

		private final String prompt;

		private final int maxTokens;

		private final int start;

		private final int priority;

		private final long arrival;

		private int next;

		private int prefillSteps;

		private boolean gone;

		private Generation(HttpExchange exchange, String prompt, int maxTokens, int start, int priority, long arrival) {
			this.exchange = exchange;
			this.prompt = prompt;
			this.maxTokens = maxTokens;
			this.start = start;
			this.next = start;
			this.priority = priority;
			this.arrival = arrival;
		}

		@Override
		public int compareTo(Generation other) {
			int byPriority = Integer.compare(other.priority, this.priority);
			return (byPriority != 0) ? byPriority : Long.compare(this.arrival, other.arrival);
		}

		@Override
		public boolean equals(Object other) {
			return this == other;
		}

		@Override
		public int hashCode() {
			return Long.hashCode(this.arrival);
		}

	}

}
