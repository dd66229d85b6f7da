package org.snowwind.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.http.DataLoop;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.Responses;
import org.snowwind.model.Json;

/**
 * A plain service that counts each effect it made, by the tag that the caller gave.
 */
public final class StandInPlainService extends HttpStandIn {

	/** The header by which a caller tags its request. */
	public static final String TAG = "X-Tag";

	private static final int OK = 200;

	private static final int HALF_CHARS = 12;

	private static final int MAX_BODY_BYTES = 8 << 20;

	private final ConcurrentMap<String, Integer> effects = new ConcurrentHashMap<>();

	private volatile PlainFaults faults = PlainFaults.NONE;

	/**
	 * Creates a service.
	 * @param loop the thread that carries it
	 */
	public StandInPlainService(DataLoop loop) {
		super(loop);
	}

	/**
	 * Switches faults.
	 * @param next what is wrong from now on
	 */
	public void faults(PlainFaults next) {
		this.faults = next;
	}

	/**
	 * Counts the effects of each tag.
	 * @return counts by tag
	 */
	public Map<String, Integer> effects() {
		return Map.copyOf(this.effects);
	}

	@Override
	void handle(HttpExchange exchange) {
		if ("/effects".equals(exchange.path())) {
			Responses.json(exchange, OK, this.effects);
			return;
		}
		if ("/faults".equals(exchange.path())) {
			exchange.readBody(MAX_BODY_BYTES, (body) -> changeFaults(exchange, body));
			return;
		}
		exchange.readBody(MAX_BODY_BYTES, (body) -> {
			PlainFaults now = takeFault();
			if (now.breakAt() == PlainFaults.BreakAt.BEFORE_EFFECT) {
				exchange.abort();
				return;
			}
			loop().later(() -> act(exchange, body, now), now.delayMillis());
		});
	}

	private PlainFaults takeFault() {
		PlainFaults now = this.faults;
		if (now.breaks() <= 0) {
			return new PlainFaults(now.delayMillis(), PlainFaults.BreakAt.NOWHERE, 0);
		}
		this.faults = new PlainFaults(now.delayMillis(), now.breakAt(), now.breaks() - 1);
		return now;
	}

	private void act(HttpExchange exchange, byte[] body, PlainFaults now) {
		String tag = exchange.header(TAG);
		if (tag != null) {
			this.effects.merge(tag, 1, Integer::sum);
		}
		switch (now.breakAt()) {
			case AFTER_EFFECT -> exchange.abort();
			case MID_ANSWER -> breakAnswer(exchange, answer(exchange, body).substring(0, HALF_CHARS));
			case BEFORE_END -> breakAnswer(exchange, answer(exchange, body));
			case NOWHERE, BEFORE_EFFECT -> exchange.respond(OK, Map.of("Content-Type", "application/json"),
					answer(exchange, body).getBytes(StandardCharsets.UTF_8));
		}
	}

	private void breakAnswer(HttpExchange exchange, String sent) {
		exchange.begin(OK, Map.of("Content-Type", "application/json"));
		exchange.write(sent.getBytes(StandardCharsets.UTF_8));
		loop().later(exchange::abort, 1);
	}

	private static String answer(HttpExchange exchange, byte[] body) {
		String tag = exchange.header(TAG);
		return "{\"method\":\"" + exchange.method() + "\",\"path\":\"" + exchange.path() + "\",\"tag\":\"" + tag
				+ "\",\"bytes\":" + body.length + "}\n";
	}

	private void changeFaults(HttpExchange exchange, byte[] body) {
		try {
			JsonNode json = Json.MAPPER.readTree(body);
			PlainFaults.BreakAt breakAt = PlainFaults.BreakAt.valueOf(json.path("breakAt").asText("NOWHERE"));
			this.faults = new PlainFaults(json.path("delayMillis").asLong(), breakAt, json.path("breaks").asInt());
			Responses.json(exchange, OK, this.faults);
		}
		catch (IOException | IllegalArgumentException ex) {
			exchange.respond(400, Map.of(), new byte[0]);
		}
	}

}
