package org.snowwind.entry.request;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.decide.choice.RendezvousHashing;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.model.AttemptHeaders;
import org.snowwind.model.Json;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;
import org.snowwind.model.resource.RoutingPolicySpec;
import org.snowwind.model.resource.ServiceLevel;

/**
 * Turns what a caller sent into a request, or says what is wrong with it. Nothing that is
 * wrong reaches a back end.
 */
final class RequestReader {

	/** The header by which a caller marks its request. */
	static final String REPEATABLE = "X-Snowwind-Repeatable";

	/** The header by which a caller limits the time, in milliseconds. */
	static final String BUDGET = "X-Snowwind-Budget-Millis";

	private static final String MODELS = "/v1/models/";

	private static final String SERVICES = "/v1/services/";

	private static final String GENERATE = "/generate";

	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private static final int MAX_TOKENS = 100_000;

	private static final double CHARS_PER_TOKEN = 4;

	private static final int PREFIX_CHARS = 256;

	private RequestReader() {
	}

	/**
	 * Finds where a request leads.
	 * @param exchange the request
	 * @param snapshot the configuration in force
	 * @return the target, or what is wrong
	 */
	static Read<Target> target(HttpExchange exchange, Snapshot snapshot) {
		String path = exchange.path();
		if (path.startsWith(MODELS) && path.endsWith(GENERATE) && path.length() > MODELS.length() + GENERATE.length()) {
			return model(exchange, snapshot, path);
		}
		if (path.startsWith(SERVICES)) {
			return service(exchange, snapshot);
		}
		return Read.problem(ProblemKind.UNKNOWN_PATH, "no such path");
	}

	private static Read<Target> model(HttpExchange exchange, Snapshot snapshot, String path) {
		if (!"POST".equals(exchange.method())) {
			return Read.problem(ProblemKind.METHOD_NOT_ALLOWED, "generate takes POST");
		}
		String model = path.substring(MODELS.length(), path.length() - GENERATE.length());
		Optional<String> group = snapshot.groupOfModel(model);
		if (group.isEmpty()) {
			return Read.problem(ProblemKind.UNKNOWN_MODEL, "no such model");
		}
		return Read.value(new Target(group.get(), true, GENERATE));
	}

	private static Read<Target> service(HttpExchange exchange, Snapshot snapshot) {
		String rest = exchange.target().substring(SERVICES.length());
		int end = 0;
		while (end < rest.length() && rest.charAt(end) != '/' && rest.charAt(end) != '?') {
			end++;
		}
		String name = rest.substring(0, end);
		if (!snapshot.hasService(name)) {
			return Read.problem(ProblemKind.UNKNOWN_SERVICE, "no such service");
		}
		String pathAndQuery = rest.substring(end);
		return Read.value(new Target(name, false, pathAndQuery.startsWith("/") ? pathAndQuery : "/" + pathAndQuery));
	}

	/**
	 * Reads a request whose body has arrived.
	 * @param exchange the request
	 * @param target where it leads
	 * @param organisation whose it is
	 * @param serviceLevel what its organisation is promised
	 * @param policy how it is routed
	 * @param body the body
	 * @return the request, or what is wrong
	 */
	static Read<CallerRequest> request(HttpExchange exchange, Target target, String organisation,
			ServiceLevel serviceLevel, RoutingPolicySpec policy, byte[] body) {
		Read<Long> budget = budget(exchange, policy);
		Read<Boolean> repeatable = repeatable(exchange, target, policy);
		Read<Prompt> prompt = target.engine() ? prompt(body) : Read.value(Prompt.NONE);
		Problem problem = firstProblem(budget, repeatable, prompt);
		if (problem != null) {
			return new Read<>(null, problem);
		}
		Prompt read = prompt.value();
		return Read.value(new CallerRequest(organisation, target.name(), target.engine(), exchange.method(),
				target.pathAndQuery(), backendHeaders(exchange), body, repeatable.value(), read.cost(),
				read.affinityHash(), budget.value(), serviceLevel, policy));
	}

	private static Problem firstProblem(Read<?>... reads) {
		for (Read<?> read : reads) {
			if (read.problem() != null) {
				return read.problem();
			}
		}
		return null;
	}

	private static Read<Long> budget(HttpExchange exchange, RoutingPolicySpec policy) {
		String header = exchange.header(BUDGET);
		if (header == null) {
			return Read.value(policy.budgetMillis());
		}
		try {
			long millis = Long.parseLong(header);
			if (millis > 0) {
				return Read.value(Math.min(millis, policy.budgetMillis()));
			}
		}
		catch (NumberFormatException ex) {
			// Told below, like a number out of range.
		}
		return Read.problem(ProblemKind.BAD_HEADER, BUDGET + " takes a whole number above 0");
	}

	private static Read<Boolean> repeatable(HttpExchange exchange, Target target, RoutingPolicySpec policy) {
		RoutingPolicySpec.Route route = policy.routes()
			.stream()
			.filter((candidate) -> candidate.matches(exchange.method(), target.pathAndQuery()))
			.findFirst()
			.orElseGet(() -> new RoutingPolicySpec.Route(null, null,
					target.engine() || SAFE_METHODS.contains(exchange.method()), true));
		String header = exchange.header(REPEATABLE);
		if (header == null) {
			return Read.value(route.repeatable());
		}
		return switch (header) {
			case "no" -> Read.value(false);
			case "yes" -> (route.repeatable() || route.callerMayLoosen()) ? Read.value(true)
					: Read.problem(ProblemKind.NOT_ALLOWED, "the routing policy marks this request not repeatable");
			default -> Read.problem(ProblemKind.BAD_HEADER, REPEATABLE + " takes yes or no");
		};
	}

	private static Read<Prompt> prompt(byte[] body) {
		try {
			JsonNode json = Json.MAPPER.readTree(body);
			JsonNode prompt = json.path("prompt");
			JsonNode maxTokens = json.path("maxTokens");
			boolean tokensFit = maxTokens.isIntegralNumber() && maxTokens.asLong() >= 1
					&& maxTokens.asLong() <= MAX_TOKENS;
			if (!prompt.isTextual() || !tokensFit) {
				return Read.problem(ProblemKind.BAD_JSON,
						"prompt must be a text and maxTokens a whole number from 1 to " + MAX_TOKENS);
			}
			return Read.value(Prompt.of(prompt.asText(), maxTokens.asInt()));
		}
		catch (IOException ex) {
			return Read.problem(ProblemKind.BAD_JSON, "the body is not JSON");
		}
	}

	private static Map<String, String> backendHeaders(HttpExchange exchange) {
		Map<String, String> headers = new HashMap<>(exchange.headers());
		headers.remove("authorization");
		headers.keySet().removeIf((name) -> name.startsWith(AttemptHeaders.PREFIX));
		headers.keySet().removeIf((name) -> name.startsWith("x-" + AttemptHeaders.PREFIX));
		return headers;
	}

	/**
	 * Something that was read, or what is wrong with it.
	 *
	 * @param <T> the type of what was read
	 * @param value what was read, {@code null} if something is wrong
	 * @param problem what is wrong, {@code null} if nothing is
	 */
	record Read<T>(T value, Problem problem) {

		static <T> Read<T> value(T value) {
			return new Read<>(value, null);
		}

		static <T> Read<T> problem(ProblemKind kind, String detail) {
			return new Read<>(null, Problem.notRun(kind, detail));
		}

		/**
		 * Handles each case.
		 * @param <R> the type of what comes out
		 * @param onValue handles what was read
		 * @param onProblem handles what is wrong
		 * @return what the handler returns
		 */
		<R> R match(Function<T, R> onValue, Function<Problem, R> onProblem) {
			return (this.problem != null) ? onProblem.apply(this.problem) : onValue.apply(this.value);
		}

	}

	private record Prompt(double cost, long affinityHash) {

		private static final Prompt NONE = new Prompt(1, 0);

		private static Prompt of(String text, int maxTokens) {
			String prefix = text.substring(0, Math.min(PREFIX_CHARS, text.length()));
			return new Prompt(text.length() / CHARS_PER_TOKEN + maxTokens, RendezvousHashing.hash(prefix));
		}

	}

}
