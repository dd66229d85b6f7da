package org.snowwind.entry.api;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import org.snowwind.config.settings.Addresses;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.wire.Reply;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.ThriftLink;
import org.snowwind.wire.generated.AgentControl;
import org.snowwind.wire.generated.AgentReport;

/**
 * Orders an agent to take no more work.
 */
public final class DrainOrders {

	private static final long TIMEOUT_MILLIS = 2000;

	private final ConfigHolder config;

	private final ThriftCalls calls;

	private final String credential;

	/**
	 * Creates the orders.
	 * @param config knows the servers
	 * @param calls carries the calls
	 * @param credential the fleet credential
	 */
	public DrainOrders(ConfigHolder config, ThriftCalls calls, String credential) {
		this.config = config;
		this.calls = calls;
		this.credential = credential;
	}

	/**
	 * Orders one server's agent to drain.
	 * @param name the server's name
	 * @param whenDone gets the result, on the calls' thread
	 */
	public void drain(String name, Consumer<Result> whenDone) {
		Optional<InetSocketAddress> address = this.config.current()
			.resources()
			.find(ResourceKind.BACKEND_SERVER, name)
			.map((resource) -> ((BackendServerSpec) resource.spec()).controlAddress())
			.flatMap(Addresses::parse);
		if (address.isEmpty()) {
			whenDone.accept(new Result(null,
					Problem.notRun(ProblemKind.UNKNOWN_RESOURCE, "no BackendServer is named " + name)));
			return;
		}
		ThriftCalls.ClientFactory<AgentControl.AsyncClient> factory = AgentControl.AsyncClient::new;
		ThriftLink<AgentControl.AsyncClient> link = this.calls.link(address.get(), factory, TIMEOUT_MILLIS);
		link.<AgentReport>call((client, callback) -> client.drain(this.credential, "operator", callback),
				new Reply<>() {
					@Override
					public void received(AgentReport report) {
						link.close();
						whenDone.accept(new Result(
								Map.of("server", name, "draining", report.isDraining(), "running", report.getRunning()),
								null));
					}

					@Override
					public void failed(Exception cause) {
						link.close();
						whenDone.accept(new Result(null, Problem.notRun(ProblemKind.NO_SERVER,
								"the agent of " + name + " does not answer; it may or may not drain")));
					}
				});
	}

	/**
	 * What the agent said.
	 *
	 * @param report its state, {@code null} if it did not answer
	 * @param problem what is wrong, {@code null} if nothing is
	 */
	public record Result(Map<String, Object> report, Problem problem) {

		/**
		 * Handles each case.
		 * @param <R> the type of what comes out
		 * @param onReport handles a report
		 * @param onProblem handles a problem
		 * @return what the handler returns
		 */
		public <R> R match(Function<Map<String, Object>, R> onReport, Function<Problem, R> onProblem) {
			return (this.problem != null) ? onProblem.apply(this.problem) : onReport.apply(this.report);
		}

	}

}
