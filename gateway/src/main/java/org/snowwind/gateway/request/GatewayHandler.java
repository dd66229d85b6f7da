package org.snowwind.gateway.request;

import java.util.Map;
import java.util.Optional;

import org.snowwind.gateway.table.KeyHolder;
import org.snowwind.gateway.table.Route;
import org.snowwind.gateway.table.RouteTable;
import org.snowwind.gateway.table.TableHolder;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.HttpHandler;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Takes callers' requests: where to, whose is it. Confined to the loop.
 */
public final class GatewayHandler implements HttpHandler {

	/**
	 * When to come back to a process that knows no configuration yet, in milliseconds.
	 */
	private static final long NOT_READY_RETRY_MILLIS = 300;

	private final RequestContext context;

	private final TableHolder tables;

	private boolean draining;

	private int open;

	/**
	 * Creates the handler.
	 * @param context what requests work with
	 * @param tables holds the table in force
	 */
	public GatewayHandler(RequestContext context, TableHolder tables) {
		this.context = context;
		this.tables = tables;
	}

	/**
	 * Closes each connection after its next answer from now on.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Counts the open requests.
	 * @return a number of requests
	 */
	public int open() {
		return this.open;
	}

	@Override
	public void handle(HttpExchange exchange) {
		long arrivedMillis = this.context.clock().nowMillis();
		this.open++;
		OpenRequest counted = new OpenRequest();
		exchange.onGone(counted::ended);
		if (this.draining) {
			exchange.closeAfterAnswer();
		}
		Map<String, String> headers = exchange.headers();
		CallerHead head = this.context.dialect().readCaller(headers);
		RouteTable table = this.tables.current();
		Routed routed = route(exchange, head, table);
		if (routed.problem() != null) {
			refuse(exchange, head, table, routed.problem(), counted);
			return;
		}
		exchange.readBody(table.limits().maxBodyBytes(), (body) -> {
			CallerRequest request = new CallerRequest(head, exchange.method(), exchange.target(),
					exchange.header("Host"), headers, body, routed.route(),
					table.target(routed.route(), this.context.random()), routed.organisation(), table.version(),
					arrivedMillis);
			logRouted(request);
			new Relay(this.context, request, exchange, counted::ended).start();
		}, counted::ended);
	}

	private Routed route(HttpExchange exchange, CallerHead head, RouteTable table) {
		if (table.version() == 0) {
			return Routed.refused(Problem.notRun(ProblemKind.NOT_READY, "no configuration is known yet")
				.retryAfter(NOT_READY_RETRY_MILLIS));
		}
		Optional<Route> route = table.route(exchange.header("Host"), exchange.path());
		if (route.isEmpty()) {
			return Routed.refused(Problem.notRun(ProblemKind.UNKNOWN_PATH, "no route leads there"));
		}
		Optional<KeyHolder> holder = (head.key() != null) ? table.holderOf(head.key()) : Optional.empty();
		boolean keyNeeded = table.keysNeeded() && !route.get().open();
		if (keyNeeded && holder.isEmpty()) {
			return Routed.refused(Problem.notRun(ProblemKind.UNKNOWN_ORGANISATION, "no organisation has this key"));
		}
		return new Routed(route.get(), holder.map(KeyHolder::organisation).orElse(null), null);
	}

	private void refuse(HttpExchange exchange, CallerHead head, RouteTable table, Problem problem,
			OpenRequest counted) {
		EventLog.log(Event.REQUEST_REFUSED, "request", head.requestId(), "kind", problem.kind().code(), "table",
				table.version());
		counted.ended();
		OwnAnswers.problem(exchange, this.context.dialect(), head.requestId(), problem);
	}

	private void logRouted(CallerRequest request) {
		EventLog.log(Event.REQUEST_ROUTED, "request", request.id(), "route", request.route().name(), "service",
				request.service(), "organisation", request.organisation(), "table", request.tableVersion(),
				"patienceMillis", request.head().patienceMillis(), "promptTokens", request.head().promptTokens(),
				"bodyBytes", request.body().length, "targetMillis", request.route().targetMillis(), "pauseTargetMillis",
				request.route().pauseTargetMillis());
	}

	/**
	 * Where a request goes, or why nowhere.
	 *
	 * @param route its route, {@code null} if it is refused
	 * @param organisation whose it is, {@code null} if nobody's
	 * @param problem why it is refused, {@code null} if it is not
	 */
	private record Routed(Route route, String organisation, Problem problem) {

		private static Routed refused(Problem problem) {
			return new Routed(null, null, problem);
		}

	}

	/**
	 * One open request, counted off once.
	 */
	private final class OpenRequest {

		private boolean ended;

		private void ended() {
			if (!this.ended) {
				this.ended = true;
				GatewayHandler.this.open--;
			}
		}

	}

}
