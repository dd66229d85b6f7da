package org.snowwind.entry.api;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.http.DataLoop;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.HttpHandler;
import org.snowwind.http.server.Responses;
import org.snowwind.model.Json;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ResourceView;
import org.snowwind.wire.Credentials;

/**
 * The resource API over HTTP: {@code /apis/v1/KIND/NAME}, {@code /apis/v1/apply},
 * {@code /apis/v1/drain/NAME} and {@code /apis/v1/burn}.
 *
 * <p>
 * Reads are answered from memory and cost the platform nothing. Writes wait for the
 * platform on a thread of their own.
 */
public final class ResourceApi implements HttpHandler, AutoCloseable {

	private static final String ROOT = "/apis/v1/";

	private static final int OK = 200;

	private static final int MAX_BODY_BYTES = 8 << 20;

	private static final int RING_SIZE = 64;

	private static final long TICK_MILLIS = 60_000;

	private static final long BUSY_RETRY_MILLIS = 1000;

	private final String operatorToken;

	private final DataLoop loop;

	private final StatusBoard status;

	private final ResourceWriter writer;

	private final DrainOrders drains;

	private final BurnReading burn;

	private final DutyThread thread = new DutyThread("operators", RING_SIZE, TICK_MILLIS, () -> {
	});

	/**
	 * Creates the API without starting it.
	 * @param operatorToken what operators show
	 * @param loop owns the exchanges
	 * @param status shows resources
	 * @param writer writes resources
	 * @param drains orders agents to drain
	 * @param burn makes the burn report
	 */
	public ResourceApi(String operatorToken, DataLoop loop, StatusBoard status, ResourceWriter writer,
			DrainOrders drains, BurnReading burn) {
		this.operatorToken = operatorToken;
		this.loop = loop;
		this.status = status;
		this.writer = writer;
		this.drains = drains;
		this.burn = burn;
	}

	/**
	 * Starts the thread that writes.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	@Override
	public void handle(HttpExchange exchange) {
		String authorization = String.valueOf(exchange.header("Authorization"));
		if (!Credentials.same("Bearer " + this.operatorToken, authorization)) {
			Responses.problem(exchange, Problem.notRun(ProblemKind.BAD_CREDENTIAL, "the operator token is wrong"));
			return;
		}
		if (!exchange.path().startsWith(ROOT)) {
			unknownPath(exchange);
			return;
		}
		route(exchange, exchange.path().substring(ROOT.length()).split("/"));
	}

	private void route(HttpExchange exchange, String[] parts) {
		if ("apply".equals(parts[0]) && "POST".equals(exchange.method())) {
			exchange.readBody(MAX_BODY_BYTES, (body) -> apply(exchange, body));
			return;
		}
		if ("drain".equals(parts[0]) && parts.length == 2 && "POST".equals(exchange.method())) {
			this.drains.drain(parts[1], (result) -> this.loop
				.run(() -> result.match((report) -> tell(exchange, report), (problem) -> refuse(exchange, problem))));
			return;
		}
		if ("burn".equals(parts[0]) && "GET".equals(exchange.method())) {
			onWriter(exchange, () -> this.burn.read((report) -> later(() -> tell(exchange, report)),
					(problem) -> later(() -> refuse(exchange, problem))));
			return;
		}
		Optional<ResourceKind> kind = ResourceKind.parse(parts[0]);
		if (kind.isEmpty()) {
			Responses.problem(exchange, Problem.notRun(ProblemKind.UNKNOWN_RESOURCE, "no such kind of resource"));
			return;
		}
		routeKind(exchange, kind.get(), parts);
	}

	private void routeKind(HttpExchange exchange, ResourceKind kind, String[] parts) {
		boolean one = parts.length == 2;
		switch (exchange.method()) {
			case "GET" -> read(exchange, kind, one ? parts[1] : null);
			case "DELETE" -> {
				if (one) {
					delete(exchange, new ResourceKey(kind, parts[1]));
				}
				else {
					unknownPath(exchange);
				}
			}
			default -> Responses.problem(exchange,
					Problem.notRun(ProblemKind.METHOD_NOT_ALLOWED, "use GET, DELETE, or POST to /apis/v1/apply"));
		}
	}

	private void read(HttpExchange exchange, ResourceKind kind, String name) {
		if (name == null) {
			Responses.json(exchange, OK, Map.of("items", this.status.list(kind)));
			return;
		}
		Optional<ResourceView> view = this.status.find(new ResourceKey(kind, name));
		if (view.isEmpty()) {
			Responses.problem(exchange,
					Problem.notRun(ProblemKind.UNKNOWN_RESOURCE, "no " + kind.title() + " is named so"));
			return;
		}
		Responses.json(exchange, OK, view.get());
	}

	private void apply(HttpExchange exchange, byte[] body) {
		try {
			JsonNode json = Json.MAPPER.readTree(body);
			boolean dryRun = json.path("dryRun").asBoolean();
			JsonNode resources = json.path("resources");
			onWriter(exchange, () -> {
				List<ApplyResult> results = this.writer.apply(resources, dryRun);
				this.loop.run(() -> Responses.json(exchange, OK, Map.of("results", results)));
			});
		}
		catch (IOException ex) {
			Responses.problem(exchange, Problem.notRun(ProblemKind.BAD_JSON, "the body is not JSON"));
		}
	}

	private void delete(HttpExchange exchange, ResourceKey key) {
		onWriter(exchange, () -> {
			ApplyResult result = this.writer.delete(key);
			this.loop.run(() -> Responses.json(exchange, OK, Map.of("results", List.of(result))));
		});
	}

	private void onWriter(HttpExchange exchange, Runnable work) {
		if (!this.thread.offer(work)) {
			Responses.problem(exchange, Problem.notRun(ProblemKind.OVERLOADED, "too many changes wait at this entry")
				.retryAfter(BUSY_RETRY_MILLIS));
		}
	}

	private Void later(Runnable work) {
		this.loop.run(work);
		return null;
	}

	private static Void tell(HttpExchange exchange, Object value) {
		Responses.json(exchange, OK, value);
		return null;
	}

	private static Void refuse(HttpExchange exchange, Problem problem) {
		Responses.problem(exchange, problem);
		return null;
	}

	private static void unknownPath(HttpExchange exchange) {
		Responses.problem(exchange, Problem.notRun(ProblemKind.UNKNOWN_PATH,
				"use /apis/v1/KIND/NAME, /apis/v1/apply, /apis/v1/drain/NAME"));
	}

}
