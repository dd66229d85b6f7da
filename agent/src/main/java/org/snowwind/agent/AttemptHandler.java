package org.snowwind.agent;

import java.util.HashMap;
import java.util.Map;

import org.snowwind.agent.admission.BackendLane;
import org.snowwind.agent.admission.Refusals;
import org.snowwind.agent.admission.Work;
import org.snowwind.agent.backend.BackendCall;
import org.snowwind.decide.ledger.AttemptId;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.HttpHandler;
import org.snowwind.model.AttemptHeaders;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;
import org.snowwind.wire.Credentials;

/**
 * Takes attempts from entries: {@code /targets/TARGET/PATH}.
 */
final class AttemptHandler implements HttpHandler {

	private static final String TARGETS = "/targets/";

	/** What part of the time to the first byte may be spent in the queue. */
	private static final double QUEUE_SHARE = 0.65;

	private static final int MAX_BODY_BYTES = 8 << 20;

	private final AgentState state;

	private final MonotonicClock clock;

	private final String credential;

	AttemptHandler(AgentState state, MonotonicClock clock, String credential) {
		this.state = state;
		this.clock = clock;
		this.credential = credential;
	}

	@Override
	public void handle(HttpExchange exchange) {
		Problem problem = refusal(exchange);
		if (problem != null) {
			Refusals.tell(exchange, problem);
			return;
		}
		long arrivedMillis = this.clock.nowMillis();
		exchange.readBody(MAX_BODY_BYTES, (body) -> admit(exchange, body, arrivedMillis));
	}

	private Problem refusal(HttpExchange exchange) {
		if (!Credentials.same(this.credential, exchange.header(AttemptHeaders.CREDENTIAL))) {
			return Problem.notRun(ProblemKind.BAD_CREDENTIAL, "the fleet credential is wrong");
		}
		if (!exchange.path().startsWith(TARGETS) || this.state.lane(targetOf(exchange)) == null) {
			return Problem.notRun(ProblemKind.NO_SERVER, "this server does not serve the target");
		}
		if (this.state.draining()) {
			return AgentState.DRAINING;
		}
		String incarnation = exchange.header(AttemptHeaders.INCARNATION);
		if (!Long.toHexString(this.state.incarnation()).equals(incarnation)) {
			return Problem.notRun(ProblemKind.WRONG_INCARNATION, "the attempt was meant for an earlier run");
		}
		return null;
	}

	private void admit(HttpExchange exchange, byte[] body, long arrivedMillis) {
		if (this.state.draining()) {
			Refusals.tell(exchange, AgentState.DRAINING);
			return;
		}
		try {
			Work work = workOf(exchange, body, arrivedMillis);
			BackendLane lane = this.state.lane(targetOf(exchange));
			lane.offer(work);
		}
		catch (NumberFormatException ex) {
			Refusals.tell(exchange, Problem.notRun(ProblemKind.BAD_HEADER, "an attempt header is not a number"));
		}
	}

	private static Work workOf(HttpExchange exchange, byte[] body, long arrivedMillis) {
		AttemptId id = AttemptId.parse(String.valueOf(exchange.header(AttemptHeaders.ATTEMPT)));
		long budgetMillis = Long.parseLong(exchange.header(AttemptHeaders.BUDGET_MILLIS));
		long headWithinMillis = Long.parseLong(exchange.header(AttemptHeaders.HEAD_WITHIN_MILLIS));
		double cost = Double.parseDouble(String.valueOf(exchange.header(AttemptHeaders.COST)));
		int resumeAt = Integer.parseInt(exchange.header(AttemptHeaders.RESUME_AT));
		String organisation = String.valueOf(exchange.header(AttemptHeaders.ORGANISATION));
		boolean repeatable = Boolean.parseBoolean(exchange.header(AttemptHeaders.REPEATABLE));
		BackendCall call = new BackendCall(exchange.method(), restOf(exchange), backendHeaders(exchange), body,
				resumeAt);
		long beginByMillis = arrivedMillis + Math.round(headWithinMillis * QUEUE_SHARE);
		return new Work(id, organisation, call, cost, beginByMillis, arrivedMillis + budgetMillis, repeatable,
				exchange);
	}

	private static Map<String, String> backendHeaders(HttpExchange exchange) {
		Map<String, String> headers = new HashMap<>(exchange.headers());
		headers.keySet().removeIf((name) -> name.startsWith(AttemptHeaders.PREFIX));
		return headers;
	}

	private static String targetOf(HttpExchange exchange) {
		String rest = exchange.path().substring(Math.min(TARGETS.length(), exchange.path().length()));
		int slash = rest.indexOf('/');
		return (slash < 0) ? rest : rest.substring(0, slash);
	}

	private static String restOf(HttpExchange exchange) {
		String rest = exchange.target().substring(TARGETS.length());
		int slash = rest.indexOf('/');
		return (slash < 0) ? "/" : rest.substring(slash);
	}

}
