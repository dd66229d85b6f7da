package org.snowwind.gateway.request;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.snowwind.decide.stop.StopSchedule;
import org.snowwind.gateway.table.KeyHolder;
import org.snowwind.gateway.table.Route;
import org.snowwind.gateway.table.RouteTable;
import org.snowwind.gateway.table.TableFreshness;
import org.snowwind.gateway.table.TableHolder;
import org.snowwind.http.server.ConnectionUse;
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

	/**
	 * When to come back to a gateway that stops, in milliseconds: at once, since a new
	 * connection may lead to another one.
	 */
	private static final long STOPPING_RETRY_MILLIS = 20;

	/** Lines about requests that a stop cuts off; SW-1104 counts them all. */
	private static final int MAX_CUT_OFF_LINES = 50;

	private final RequestContext context;

	private final TableHolder tables;

	private final TableFreshness freshness;

	/** In the order in which they came. */
	private final Set<OpenRequest> open = new LinkedHashSet<>();

	/** The stop that has begun, {@code null} before. */
	private StopSchedule stop;

	private boolean closed;

	/**
	 * Creates the handler.
	 * @param context what requests work with
	 * @param tables holds the table in force
	 * @param freshness tells how certain it is that it is the newest
	 */
	public GatewayHandler(RequestContext context, TableHolder tables, TableFreshness freshness) {
		this.context = context;
		this.tables = tables;
		this.freshness = freshness;
	}

	/**
	 * Closes each connection after its next answer from now on.
	 * @param schedule the moments of the stop
	 */
	public void drain(StopSchedule schedule) {
		this.stop = schedule;
	}

	/**
	 * Counts the open requests.
	 * @return a number of requests
	 */
	public int open() {
		return this.open.size();
	}

	/**
	 * Takes no more requests if none is open.
	 * @return how many are open
	 */
	public int closeIfNone() {
		this.closed = this.closed || this.open.isEmpty();
		return this.open.size();
	}

	/**
	 * Ends the open requests and takes no more. One whose answer has not begun gets a
	 * true one, since its caller cannot tell a connection that closes from a loss.
	 * @return how many were open
	 */
	public int endAll() {
		this.closed = true;
		long nowMillis = this.context.clock().nowMillis();
		List<OpenRequest> left = List.copyOf(this.open);
		left.stream().limit(MAX_CUT_OFF_LINES).forEach((request) -> request.logCutOff(nowMillis));
		left.forEach(OpenRequest::end);
		return left.size();
	}

	/**
	 * Sets the deadlines of all open requests anew, since the clock went on while timers
	 * stood still: those whose time is over end at once.
	 */
	public void timePassedUnseen() {
		List.copyOf(this.open)
			.stream()
			.filter((request) -> request.relay != null)
			.forEach((request) -> request.relay.timePassedUnseen());
	}

	@Override
	public void handle(HttpExchange exchange) {
		long arrivedMillis = this.context.clock().nowMillis();
		Map<String, String> headers = exchange.headers();
		CallerHead head = this.context.dialect().readCaller(headers);
		OpenRequest counted = new OpenRequest(exchange, head, arrivedMillis);
		this.open.add(counted);
		exchange.onGone(counted::ended);
		if (this.stop != null) {
			exchange.closeAfterAnswer();
		}
		RouteTable table = this.tables.current();
		Routed routed = route(exchange, head, table);
		if (routed.problem() != null) {
			refuse(exchange, head, table, routed.problem(), counted);
			return;
		}
		long deadlineMillis = arrivedMillis + head.allowedMillis(routed.route());
		if (refusedByStop(exchange, counted, deadlineMillis)) {
			return;
		}
		exchange.readBody(table.limits().maxBodyBytes(), (body) -> {
			// The body may have taken long, and the stop may have begun, gone on or ended
			// the request.
			if (!this.open.contains(counted) || refusedByStop(exchange, counted, deadlineMillis)) {
				return;
			}
			CallerRequest request = new CallerRequest(head, exchange.method(), exchange.target(),
					exchange.header("Host"), headers, body, routed.route(),
					table.target(routed.route(), this.context.random()), routed.organisation(), table.version(),
					arrivedMillis);
			logRouted(request);
			if (this.stop != null) {
				logInStop(Event.TAKEN_IN_STOP, exchange, head, deadlineMillis);
			}
			counted.carry(request);
		}, counted::ended);
	}

	// A stop has one end, known when it begins: what is not certain to end before it is
	// better off elsewhere, and is told so before anything is sent.
	private boolean refusedByStop(HttpExchange exchange, OpenRequest request, long deadlineMillis) {
		if (this.stop == null) {
			return false;
		}
		exchange.closeAfterAnswer();
		boolean taken = !this.closed && this.stop.takes(this.context.clock().nowMillis(), deadlineMillis);
		if (!taken) {
			logInStop(Event.REFUSED_IN_STOP, exchange, request.head, deadlineMillis);
			request.refuse();
		}
		return !taken;
	}

	private Routed route(HttpExchange exchange, CallerHead head, RouteTable table) {
		if (table.version() == 0) {
			return Routed.refused(Problem.notRun(ProblemKind.NOT_READY, "no configuration is known yet")
				.retryAfter(NOT_READY_RETRY_MILLIS));
		}
		Optional<Route> route = table.route(exchange.header("Host"), exchange.path());
		if (route.isEmpty()) {
			return refusedByTable(ProblemKind.UNKNOWN_PATH, "no route leads there");
		}
		Optional<KeyHolder> holder = (head.key() != null) ? table.holderOf(head.key()) : Optional.empty();
		boolean keyNeeded = table.keysNeeded() && !route.get().open();
		if (keyNeeded && holder.isEmpty()) {
			return refusedByTable(ProblemKind.UNKNOWN_ORGANISATION, "no organisation has this key");
		}
		return new Routed(route.get(), holder.map(KeyHolder::organisation).orElse(null), null);
	}

	private Routed refusedByTable(ProblemKind kind, String detail) {
		if (this.freshness.isRefusalFinal()) {
			return Routed.refused(Problem.notRun(kind, detail));
		}
		return Routed.refused(Problem.notRun(ProblemKind.NOT_READY, detail + ", but there may be a newer configuration")
			.retryAfter(this.freshness.retryMillis()));
	}

	private void refuse(HttpExchange exchange, CallerHead head, RouteTable table, Problem problem,
			OpenRequest counted) {
		TableFreshness.State freshness = this.freshness.state();
		EventLog.log(Event.REQUEST_REFUSED, "request", head.requestId(), "kind", problem.kind().code(), "table",
				table.version(), "unconfirmedMillis", freshness.unconfirmedMillis(), "toldVersion",
				freshness.toldVersion(), "toldBy", freshness.toldBy(), "behindMillis", freshness.behindMillis());
		counted.ended();
		OwnAnswers.problem(exchange, this.context.dialect(), head.requestId(), problem);
	}

	private void logInStop(Event event, HttpExchange exchange, CallerHead head, long deadlineMillis) {
		long nowMillis = this.context.clock().nowMillis();
		ConnectionUse connection = exchange.connection();
		EventLog.log(event, "request", head.requestId(), "afterMillis", this.stop.elapsedMillis(nowMillis),
				"newConnection", connection.ageMillis() <= this.stop.elapsedMillis(nowMillis), "connectionAgeMillis",
				connection.ageMillis(), "earlierRequests", connection.earlierRequests(), "asksMillis",
				deadlineMillis - nowMillis, "leftMillis", this.stop.leftMillis(nowMillis));
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

		private final HttpExchange exchange;

		private final CallerHead head;

		private final long arrivedMillis;

		/** {@code null} until the whole request is read. */
		private Relay relay;

		private OpenRequest(HttpExchange exchange, CallerHead head, long arrivedMillis) {
			this.exchange = exchange;
			this.head = head;
			this.arrivedMillis = arrivedMillis;
		}

		private void carry(CallerRequest request) {
			this.relay = new Relay(GatewayHandler.this.context, request, this.exchange, this::ended);
			this.relay.start();
		}

		// Nothing was sent, so that it may run elsewhere.
		private void refuse() {
			ended();
			OwnAnswers.problem(this.exchange, GatewayHandler.this.context.dialect(), this.head.requestId(),
					Problem.notRun(ProblemKind.NOT_READY, "this gateway stops").retryAfter(STOPPING_RETRY_MILLIS));
		}

		private void end() {
			this.exchange.closeAfterAnswer();
			if (this.relay == null) {
				refuse();
			}
			else {
				this.relay.endNow();
			}
		}

		private void ended() {
			GatewayHandler.this.open.remove(this);
		}

		private void logCutOff(long nowMillis) {
			StopSchedule schedule = GatewayHandler.this.stop;
			EventLog.log(Event.CUT_OFF_IN_STOP, "request", this.head.requestId(), "takenAfterMillis",
					schedule.elapsedMillis(this.arrivedMillis), "openMillis", nowMillis - this.arrivedMillis, "begun",
					this.exchange.begun(), "patienceMillis", this.head.patienceMillis());
		}

	}

}
