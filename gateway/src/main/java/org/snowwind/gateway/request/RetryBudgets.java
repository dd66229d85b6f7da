package org.snowwind.gateway.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.snowwind.decide.admission.WindowedRetryBudget;
import org.snowwind.model.MonotonicClock;

/**
 * The retry budget of each service. Confined to the event loop.
 */
public final class RetryBudgets {

	private final Map<String, WindowedRetryBudget> byService = new HashMap<>();

	private final RetryLimit bound;

	private final IntSupplier processes;

	private final MonotonicClock clock;

	private final long startedMillis;

	/**
	 * Creates the budgets.
	 * @param bound the retries that all processes together may send
	 * @param processes the number of processes that may exist, including unreachable
	 * ones; 0 while it is not known
	 * @param clock the monotonic clock
	 * @param startedMillis when this process was started, in milliseconds
	 */
	public RetryBudgets(RetryLimit bound, IntSupplier processes, MonotonicClock clock, long startedMillis) {
		this.bound = bound;
		this.processes = processes;
		this.clock = clock;
		this.startedMillis = startedMillis;
	}

	private WindowedRetryBudget budgetOf(String service) {
		return this.byService.computeIfAbsent(service, (name) -> new WindowedRetryBudget(this.bound.fraction(),
				this.bound.extra(), this.bound.windowMillis(), this.startedMillis));
	}

	void recordRequest(String service) {
		budgetOf(service).recordRequest(this.clock.nowMillis());
	}

	void recordRetry(String service) {
		budgetOf(service).recordRetry(this.clock.nowMillis());
	}

	/**
	 * Returns whether a retry is allowed.
	 * @param service the name of the service
	 * @return false if this process has spent its share of the budget
	 */
	boolean allowsRetry(String service) {
		return budgetOf(service).allows(this.clock.nowMillis(), this.processes.getAsInt());
	}

	/**
	 * The retries that all processes together may send for one service within a sliding
	 * window.
	 *
	 * @param fraction the allowed retries per request
	 * @param extra further retries that are allowed in each window
	 * @param windowMillis the length of the window, in milliseconds
	 */
	public record RetryLimit(double fraction, int extra, long windowMillis) {

	}

}
