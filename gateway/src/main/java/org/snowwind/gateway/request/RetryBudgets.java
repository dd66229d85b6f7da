package org.snowwind.gateway.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.snowwind.decide.admission.WindowedRetryBudget;
import org.snowwind.model.MonotonicClock;

/**
 * The retry budget of each service. Confined to the loop.
 */
public final class RetryBudgets {

	private final Map<String, WindowedRetryBudget> byService = new HashMap<>();

	private final RetryBound bound;

	private final IntSupplier processes;

	private final MonotonicClock clock;

	private final long startedMillis;

	/**
	 * Creates the budgets.
	 * @param bound what all processes together may spend
	 * @param processes how many processes there may be, those out of reach included; 0
	 * while that is not known
	 * @param clock tells the time
	 * @param startedMillis when this process was started, in milliseconds
	 */
	public RetryBudgets(RetryBound bound, IntSupplier processes, MonotonicClock clock, long startedMillis) {
		this.bound = bound;
		this.processes = processes;
		this.clock = clock;
		this.startedMillis = startedMillis;
	}

	private WindowedRetryBudget of(String service) {
		return this.byService.computeIfAbsent(service, (name) -> new WindowedRetryBudget(this.bound.fraction(),
				this.bound.extra(), this.bound.windowMillis(), this.startedMillis));
	}

	void request(String service) {
		of(service).request(this.clock.nowMillis());
	}

	void retried(String service) {
		of(service).retried(this.clock.nowMillis());
	}

	/**
	 * Tells whether a retry is allowed.
	 * @param service the service's name
	 * @return false once this process has spent its part
	 */
	boolean allows(String service) {
		return of(service).allows(this.clock.nowMillis(), this.processes.getAsInt());
	}

	/**
	 * What all processes together may spend on one service in a sliding window.
	 *
	 * @param fraction retries per request
	 * @param extra further retries
	 * @param windowMillis the window, in milliseconds
	 */
	public record RetryBound(double fraction, int extra, long windowMillis) {

	}

}
