package org.snowwind.gateway.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.snowwind.decide.limit.CallAllowance;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.model.MonotonicClock;

/**
 * Limits the calls that this process makes to servers in addition to the requests of
 * callers: for reports, counts and orders. Thread-safe.
 *
 * <p>
 * A server counts these calls like requests. Only one process queries and commands the
 * ranks of a group, so it can enforce the bounds without the other processes.
 */
public final class ServerCalls {

	/**
	 * The maximum number of calls that a server is sent while it backs off. They are
	 * reserved for orders that complete a switch, since the server's group makes no pass
	 * until these orders arrive.
	 */
	private static final int COMPLETIONS_IN_BACKOFF = 2;

	private final Counter callCounter;

	private final Restrictions restrictions;

	private final NoticeListener notices;

	private final MonotonicClock clock;

	private final Map<String, CallAllowance> allowances = new HashMap<>();

	private final Map<String, Integer> completionsInBackoff = new HashMap<>();

	/**
	 * Creates an instance that has counted no calls.
	 * @param registry where the counter of calls is registered
	 * @param restrictions the active limits and backoffs of servers
	 * @param notices receives what responses announce
	 * @param clock the clock
	 */
	public ServerCalls(MeterRegistry registry, Restrictions restrictions, NoticeListener notices,
			MonotonicClock clock) {
		this.callCounter = Counter.builder("snowwind.gateway.server.calls").register(registry);
		this.restrictions = restrictions;
		this.notices = notices;
		this.clock = clock;
	}

	/**
	 * Acquires permission for a call that is sent immediately.
	 * @param server the server's id
	 * @return false if the server backs off, so that the call must not be sent
	 */
	public synchronized boolean acquire(String server) {
		if (isBackingOff(server)) {
			return false;
		}
		this.completionsInBackoff.remove(server);
		count(server);
		return true;
	}

	/**
	 * Acquires permission for an order that a switch in progress needs to complete.
	 * @param server the server's id
	 * @return false if the server backs off and the calls reserved for orders are used up
	 */
	public synchronized boolean acquireCompletion(String server) {
		if (!isBackingOff(server)) {
			return acquire(server);
		}
		if (this.completionsInBackoff.merge(server, 1, Integer::sum) > COMPLETIONS_IN_BACKOFF) {
			return false;
		}
		count(server);
		return true;
	}

	private void count(String server) {
		this.callCounter.increment();
		this.allowances.keySet().retainAll(limits().keySet());
		if (limits().containsKey(server)) {
			allowance(server).recordCall(this.clock.nowMillis());
		}
	}

	/**
	 * Returns whether a server is to be spared while another server can give the same
	 * answer.
	 * @param server the server's id
	 * @return true if the server has a limit or backs off
	 */
	public boolean isRestricted(String server) {
		return limits().containsKey(server) || isBackingOff(server);
	}

	/**
	 * Returns whether a server may be sent a number of further calls.
	 * @param server the server's id
	 * @param calls the number of calls
	 * @return true if the server does not back off, and its limit, if any, leaves room
	 * for that many calls
	 */
	public synchronized boolean allows(String server, int calls) {
		Double limit = limits().get(server);
		return !isBackingOff(server)
				&& (limit == null || allowance(server).remaining(limit, this.clock.nowMillis()) >= calls);
	}

	private boolean isBackingOff(String server) {
		Long untilMillis = this.restrictions.backoffs().get().get(server);
		return untilMillis != null && this.clock.nowMillis() < untilMillis;
	}

	private Map<String, Double> limits() {
		return this.restrictions.limits().get();
	}

	private CallAllowance allowance(String server) {
		return this.allowances.computeIfAbsent(server, (id) -> new CallAllowance());
	}

	/**
	 * Records the head of a response.
	 * @param run the incarnation that was called
	 * @param notice what the head announces
	 * @param sentMillis when the call was sent, see {@link #nowMillis()}
	 */
	public void onResponseHead(BackendIncarnation run, ServerNotice notice, long sentMillis) {
		if (!notice.equals(ServerNotice.NONE)) {
			this.notices.onNotice(run, notice, sentMillis);
		}
	}

	/**
	 * Returns the time by the clock that notices are dated with.
	 * @return the time, in milliseconds
	 */
	public long nowMillis() {
		return this.clock.nowMillis();
	}

	/**
	 * The limits and backoffs that servers have announced, published for other threads.
	 *
	 * @param limits the limits that are active, in requests per second by the server's id
	 * @param backoffs when the backoffs of servers end, in milliseconds by the server's
	 * id
	 */
	public record Restrictions(Supplier<Map<String, Double>> limits, Supplier<Map<String, Long>> backoffs) {

	}

	/**
	 * Receives what responses announce.
	 */
	@FunctionalInterface
	public interface NoticeListener {

		/**
		 * Handles an announcement in a response.
		 * @param run the incarnation that was called
		 * @param notice what it announces
		 * @param sentMillis when the call was sent, in milliseconds
		 */
		void onNotice(BackendIncarnation run, ServerNotice notice, long sentMillis);

	}

}
