package org.snowwind.gateway.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.snowwind.decide.stop.StopSchedule;
import org.snowwind.gateway.table.KeyHolder;
import org.snowwind.gateway.table.RequestPriorities;
import org.snowwind.gateway.table.Route;
import org.snowwind.gateway.table.RouteTable;
import org.snowwind.gateway.table.ServiceEntry;
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
 * Accepts callers' requests: finds their route and organisation, reads their body and
 * starts a relay for each. Confined to the event loop.
 */
public final class GatewayHandler implements HttpHandler {

	/**
	 * The retry delay for callers of a process that has no configuration yet, in
	 * milliseconds.
	 */
	private static final long NOT_READY_RETRY_AFTER_MILLIS = 300;

	/**
	 * The retry delay for callers of a gateway that stops, in milliseconds. It is short
	 * because a new connection may lead to another gateway.
	 */
	private static final long STOPPING_RETRY_AFTER_MILLIS = 20;

	/**
	 * The maximum number of log lines about requests that a stop cuts off. Event SW-1104
	 * counts all of them.
	 */
	private static final int MAX_CUT_OFF_LINES = 50;

	private final RequestContext context;

	private final TableHolder tables;

	private final TableFreshness freshness;

	/** The open requests in the order of their arrival. */
	private final Set<OpenRequest> openRequests = new LinkedHashSet<>();

	/** The schedule of the stop; {@code null} before the stop begins. */
	private StopSchedule stop;

	private boolean closed;

	/**
	 * Creates the handler.
	 * @param context the components that requests share
	 * @param tables holds the current route table
	 * @param freshness tracks whether the current route table may be outdated
	 */
	public GatewayHandler(RequestContext context, TableHolder tables, TableFreshness freshness) {
		this.context = context;
		this.tables = tables;
		this.freshness = freshness;
	}

	/**
	 * Begins the stop: from now on each connection is closed after its next response, and
	 * requests that may outlast the stop are rejected.
	 * @param schedule the schedule of the stop
	 */
	public void drain(StopSchedule schedule) {
		this.stop = schedule;
	}

	/**
	 * Returns the number of open requests.
	 * @return the number of open requests
	 */
	public int openRequestCount() {
		return this.openRequests.size();
	}

	/**
	 * Stops accepting requests if none is open.
	 * @return the number of open requests
	 */
	public int closeIfNone() {
		this.closed = this.closed || this.openRequests.isEmpty();
		return this.openRequests.size();
	}

	/**
	 * Ends the open requests and stops accepting requests. A request whose response has
	 * not started gets an error response that states whether it may have run, since its
	 * caller could not tell a closed connection from a lost request.
	 * @return the number of requests that were open
	 */
	public int endAll() {
		this.closed = true;
		long nowMillis = this.context.clock().nowMillis();
		List<OpenRequest> left = List.copyOf(this.openRequests);
		left.stream().limit(MAX_CUT_OFF_LINES).forEach((request) -> request.logCutOff(nowMillis));
		left.forEach(OpenRequest::end);
		return left.size();
	}

	/**
	 * Resets the deadline timers of all open requests after the clock advanced while
	 * timers did not run, for example while the VM was suspended. Requests whose deadline
	 * has passed end at once.
	 */
	public void resetDeadlines() {
		List.copyOf(this.openRequests)
			.stream()
			.filter((request) -> request.relay != null)
			.forEach((request) -> request.relay.resetDeadline());
	}

	/**
	 * Sends waiting requests after what is known about servers has changed.
	 */
	public void onServersChanged() {
		this.context.waiting().wakeAll();
	}

	@Override
	public void handle(HttpExchange exchange) {
		long arrivedMillis = this.context.clock().nowMillis();
		Map<String, String> headers = exchange.headers();
		RequestMetadata metadata = this.context.dialect().readRequest(headers);
		OpenRequest openRequest = new OpenRequest(exchange, metadata, arrivedMillis);
		this.openRequests.add(openRequest);
		exchange.onGone(openRequest::markEnded);
		if (this.stop != null) {
			exchange.closeAfterAnswer();
		}
		RouteTable table = this.tables.current();
		RoutingResult routing = route(exchange, metadata, table);
		if (routing.problem() != null) {
			reject(exchange, metadata, table, routing.problem(), openRequest);
			return;
		}
		long deadlineMillis = arrivedMillis + metadata.allowedMillis(routing.route());
		if (rejectIfStopping(exchange, openRequest, deadlineMillis)) {
			return;
		}
		exchange.readBody(table.limits().maxBodyBytes(), (body) -> {
			// Reading the body may have taken long. Meanwhile the stop may have begun,
			// come closer to its end or ended this request.
			if (!this.openRequests.contains(openRequest) || rejectIfStopping(exchange, openRequest, deadlineMillis)) {
				return;
			}
			ServiceEntry service = table.chooseService(routing.route(), this.context.random());
			int priority = table.priorities().of(routing.route(), service.name(), routing.holder());
			CallerRequest request = new CallerRequest(metadata, exchange.method(), exchange.target(),
					exchange.header("Host"), headers, body, routing.route(), service, routing.organisation(), priority,
					table.version(), arrivedMillis);
			logRouted(request);
			if (this.stop != null) {
				logDuringStop(Event.TAKEN_IN_STOP, exchange, metadata, deadlineMillis);
			}
			openRequest.startRelay(request);
		}, openRequest::markEnded);
	}

	// The end of a stop is known when the stop begins. A request that may not end before
	// it is rejected before anything is sent, so that its caller can use another gateway.
	private boolean rejectIfStopping(HttpExchange exchange, OpenRequest request, long deadlineMillis) {
		if (this.stop == null) {
			return false;
		}
		exchange.closeAfterAnswer();
		boolean accepted = !this.closed && this.stop.accepts(this.context.clock().nowMillis(), deadlineMillis);
		if (!accepted) {
			logDuringStop(Event.REFUSED_IN_STOP, exchange, request.metadata, deadlineMillis);
			request.reject();
		}
		return !accepted;
	}

	@Override
	public void reject(HttpExchange exchange, Problem problem) {
		ErrorResponses.send(exchange, this.context.dialect(), requestId(exchange), problem);
	}

	@Override
	public String requestId(HttpExchange exchange) {
		return this.context.dialect().readRequest(exchange.headers()).requestId();
	}

	private RoutingResult route(HttpExchange exchange, RequestMetadata metadata, RouteTable table) {
		if (table.version() == 0) {
			return RoutingResult.rejected(Problem.notRun(ProblemKind.NOT_READY, "no configuration is known yet")
				.retryAfter(NOT_READY_RETRY_AFTER_MILLIS));
		}
		Optional<Route> route = table.route(exchange.header("Host"), exchange.path());
		if (route.isEmpty()) {
			return rejectByTable(ProblemKind.UNKNOWN_PATH, "no route matches this host and path");
		}
		Optional<KeyHolder> holder = (metadata.apiKey() != null) ? table.holderOf(metadata.apiKey()) : Optional.empty();
		boolean keyRequired = table.requiresKeys() && !route.get().open();
		if (keyRequired && holder.isEmpty()) {
			return rejectByTable(ProblemKind.UNKNOWN_ORGANISATION, "no organisation has this key");
		}
		return new RoutingResult(route.get(), holder.orElse(null), null);
	}

	private RoutingResult rejectByTable(ProblemKind kind, String detail) {
		if (this.freshness.isRefusalFinal()) {
			return RoutingResult.rejected(Problem.notRun(kind, detail));
		}
		return RoutingResult
			.rejected(Problem.notRun(ProblemKind.NOT_READY, detail + ", but there may be a newer configuration")
				.retryAfter(this.freshness.retryMillis()));
	}

	private void reject(HttpExchange exchange, RequestMetadata metadata, RouteTable table, Problem problem,
			OpenRequest openRequest) {
		TableFreshness.State freshness = this.freshness.state();
		EventLog.log(Event.REQUEST_REFUSED, "request", metadata.requestId(), "kind", problem.kind().code(), "table",
				table.version(), "unconfirmedMillis", freshness.unconfirmedMillis(), "toldVersion",
				freshness.newestPeerVersion(), "toldBy", freshness.newestPeerAddress(), "behindMillis",
				freshness.behindMillis());
		openRequest.markEnded();
		ErrorResponses.send(exchange, this.context.dialect(), metadata.requestId(), problem);
	}

	private void logDuringStop(Event event, HttpExchange exchange, RequestMetadata metadata, long deadlineMillis) {
		long nowMillis = this.context.clock().nowMillis();
		ConnectionUse connection = exchange.connection();
		EventLog.log(event, "request", metadata.requestId(), "afterMillis", this.stop.elapsedMillis(nowMillis),
				"newConnection", connection.ageMillis() <= this.stop.elapsedMillis(nowMillis), "connectionAgeMillis",
				connection.ageMillis(), "earlierRequests", connection.earlierRequests(), "asksMillis",
				deadlineMillis - nowMillis, "leftMillis", this.stop.remainingMillis(nowMillis));
	}

	private void logRouted(CallerRequest request) {
		List<Object> fields = new ArrayList<>(Arrays.asList("request", request.id(), "route", request.route().name(),
				"service", request.service(), "organisation", request.organisation(), "table", request.tableVersion(),
				"patienceMillis", request.metadata().timeoutMillis(), "promptTokens", request.metadata().promptTokens(),
				"bodyBytes", request.body().length, "targetMillis", request.route().targetMillis(), "pauseTargetMillis",
				request.route().pauseTargetMillis()));
		if (request.priority() != RequestPriorities.NONE) {
			fields.addAll(List.of("priority", request.priority()));
		}
		EventLog.log(Event.REQUEST_ROUTED, fields.toArray());
	}

	/**
	 * The route of a request, or the reason for its rejection.
	 *
	 * @param route the route; {@code null} if the request is rejected
	 * @param holder the organisation that sent the request; {@code null} if it is not
	 * known
	 * @param problem the reason for the rejection; {@code null} if the request is
	 * accepted
	 */
	private record RoutingResult(Route route, KeyHolder holder, Problem problem) {

		private String organisation() {
			return (this.holder != null) ? this.holder.organisation() : null;
		}

		private static RoutingResult rejected(Problem problem) {
			return new RoutingResult(null, null, problem);
		}

	}

	/**
	 * One open request. It is removed from the open requests when it ends.
	 */
	private final class OpenRequest {

		private final HttpExchange exchange;

		private final RequestMetadata metadata;

		private final long arrivedMillis;

		/** The relay of the request; {@code null} until the whole request is read. */
		private Relay relay;

		private OpenRequest(HttpExchange exchange, RequestMetadata metadata, long arrivedMillis) {
			this.exchange = exchange;
			this.metadata = metadata;
			this.arrivedMillis = arrivedMillis;
		}

		private void startRelay(CallerRequest request) {
			this.relay = new Relay(GatewayHandler.this.context, request, this.exchange, this::markEnded);
			this.relay.start();
		}

		// Nothing was sent to a server, so the caller may safely send the request again.
		private void reject() {
			markEnded();
			ErrorResponses.send(this.exchange, GatewayHandler.this.context.dialect(), this.metadata.requestId(),
					Problem.notRun(ProblemKind.NOT_READY, "this gateway is stopping")
						.retryAfter(STOPPING_RETRY_AFTER_MILLIS));
		}

		private void end() {
			this.exchange.closeAfterAnswer();
			if (this.relay == null) {
				reject();
			}
			else {
				this.relay.endNow();
			}
		}

		private void markEnded() {
			GatewayHandler.this.openRequests.remove(this);
		}

		private void logCutOff(long nowMillis) {
			StopSchedule schedule = GatewayHandler.this.stop;
			EventLog.log(Event.CUT_OFF_IN_STOP, "request", this.metadata.requestId(), "takenAfterMillis",
					schedule.elapsedMillis(this.arrivedMillis), "openMillis", nowMillis - this.arrivedMillis, "begun",
					this.exchange.begun(), "patienceMillis", this.metadata.timeoutMillis());
		}

	}

}
