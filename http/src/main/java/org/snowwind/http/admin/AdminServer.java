package org.snowwind.http.admin;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Supplier;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.snowwind.http.DataLoop;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.HttpLimits;
import org.snowwind.http.server.HttpServer;
import org.snowwind.http.server.Responses;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Serves {@code /metrics}, {@code /livez} and {@code /readyz}.
 */
public final class AdminServer implements AutoCloseable {

	/**
	 * Limits for addresses of the operator and the balancer. Unfinished heads together
	 * hold up to 1.5 MB.
	 */
	public static final HttpLimits LIMITS = new HttpLimits(4096, 8 * 1024, 128, 30_000);

	private static final int OK = 200;

	private final HttpServer server;

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final Supplier<Readiness> readiness;

	private final Map<String, Supplier<String>> pages;

	/**
	 * Creates a server that does not listen yet.
	 * @param loop the thread that carries it; an answer also shows that the loop turns
	 * @param readiness asked for each {@code /readyz}
	 * @param pages the text of further pages, by their paths
	 */
	public AdminServer(DataLoop loop, Supplier<Readiness> readiness, Map<String, Supplier<String>> pages) {
		this.readiness = readiness;
		this.pages = Map.copyOf(pages);
		this.server = new HttpServer(loop, LIMITS, this::handle);
	}

	/**
	 * Returns where the process registers its meters.
	 * @return the registry
	 */
	public PrometheusMeterRegistry registry() {
		return this.registry;
	}

	/**
	 * Begins to listen.
	 * @param address where
	 * @return the address that it listens on
	 */
	public InetSocketAddress start(InetSocketAddress address) {
		return this.server.start(address);
	}

	@Override
	public void close() {
		this.server.close();
		this.registry.close();
	}

	private void handle(HttpExchange exchange) {
		Supplier<String> page = this.pages.get(exchange.path());
		if (page != null) {
			Responses.text(exchange, OK, page.get());
			return;
		}
		switch (exchange.path()) {
			case "/metrics" -> Responses.text(exchange, OK, this.registry.scrape());
			case "/livez" -> Responses.text(exchange, OK, "ok\n");
			case "/readyz" -> ready(exchange);
			default -> Responses.problem(exchange,
					Problem.notRun(ProblemKind.UNKNOWN_PATH, "the admin port has /metrics, /livez and /readyz"));
		}
	}

	private void ready(HttpExchange exchange) {
		Readiness now = this.readiness.get();
		if (now.ready()) {
			Responses.text(exchange, OK, "ready\n");
		}
		else {
			Responses.problem(exchange, Problem.notRun(ProblemKind.NOT_READY, now.reason()));
		}
	}

	/**
	 * Whether the process takes requests.
	 *
	 * @param ready whether it does
	 * @param reason why not, one line
	 */
	public record Readiness(boolean ready, String reason) {

		/** It does. */
		public static final Readiness READY = new Readiness(true, "");

	}

}
