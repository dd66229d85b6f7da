package org.snowwind.gateway.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.snowwind.decide.limit.CallAllowance;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.registry.BackendRun;
import org.snowwind.model.MonotonicClock;

/**
 * The gate for what this process sends to servers beside the requests of callers:
 * reports, counts and orders. Safe for use by several threads.
 *
 * <p>
 * A server counts them like requests. Only one process asks and orders the ranks of a
 * group, so that it can keep bounds alone.
 */
public final class ServerCalls {

	/**
	 * A server that backs off bears so many calls all the same. They are left to orders
	 * that complete a switch: its group makes no pass until they arrive.
	 */
	private static final int COMPLETIONS_IN_BACKOFF = 2;

	private final Counter made;

	private final Restrictions restrictions;

	private final NoticeListener notices;

	private final MonotonicClock clock;

	private final Map<String, CallAllowance> allowances = new HashMap<>();

	private final Map<String, Integer> completions = new HashMap<>();

	/**
	 * Creates a count of nothing.
	 * @param registry where it is registered
	 * @param restrictions what servers have announced
	 * @param notices is told what responses announce
	 * @param clock tells the time
	 */
	public ServerCalls(MeterRegistry registry, Restrictions restrictions, NoticeListener notices,
			MonotonicClock clock) {
		this.made = Counter.builder("snowwind.gateway.server.calls").register(registry);
		this.restrictions = restrictions;
		this.notices = notices;
		this.clock = clock;
	}

	/**
	 * Acquires a call that is sent at once.
	 * @param server the server's id
	 * @return false if the server backs off, so that nothing may be sent
	 */
	public synchronized boolean acquire(String server) {
		if (isBackingOff(server)) {
			return false;
		}
		this.completions.remove(server);
		count(server);
		return true;
	}

	/**
	 * Acquires an order without which a switch that has begun cannot end.
	 * @param server the server's id
	 * @return false if the server backs off and has got all that it bears
	 */
	public synchronized boolean acquireCompletion(String server) {
		if (!isBackingOff(server)) {
			return acquire(server);
		}
		if (this.completions.merge(server, 1, Integer::sum) > COMPLETIONS_IN_BACKOFF) {
			return false;
		}
		count(server);
		return true;
	}

	private void count(String server) {
		this.made.increment();
		this.allowances.keySet().retainAll(limits().keySet());
		if (limits().containsKey(server)) {
			allowance(server).made(this.clock.nowMillis());
		}
	}

	/**
	 * Tells whether a server is spared while another can tell the same.
	 * @param server the server's id
	 * @return true if it names a limit or backs off
	 */
	public boolean isRestricted(String server) {
		return limits().containsKey(server) || isBackingOff(server);
	}

	/**
	 * Tells whether a server may be sent more.
	 * @param server the server's id
	 * @param calls how many calls
	 * @return true if it does not back off, and takes any rate or that many more
	 */
	public synchronized boolean allows(String server, int calls) {
		Double limit = limits().get(server);
		return !isBackingOff(server)
				&& (limit == null || allowance(server).left(limit, this.clock.nowMillis()) >= calls);
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
	 * @param notice what the head says
	 * @param sentMillis when the call was sent, see {@link #nowMillis()}
	 */
	public void onResponseHead(BackendRun run, ServerNotice notice, long sentMillis) {
		if (!notice.equals(ServerNotice.NONE)) {
			this.notices.onNotice(run, notice, sentMillis);
		}
	}

	/**
	 * Returns the time by the clock of the notices.
	 * @return the time, in milliseconds
	 */
	public long nowMillis() {
		return this.clock.nowMillis();
	}

	/**
	 * What servers have announced, as other threads see it.
	 *
	 * @param limits the limits that are active, in requests per second by the server's id
	 * @param backoffs until when servers back off, in milliseconds by the server's id
	 */
	public record Restrictions(Supplier<Map<String, Double>> limits, Supplier<Map<String, Long>> backoffs) {

	}

	/**
	 * Is told what responses announce.
	 */
	@FunctionalInterface
	public interface NoticeListener {

		/**
		 * A response announces something.
		 * @param run the incarnation that was called
		 * @param notice what it announces
		 * @param sentMillis when the call was sent, in milliseconds
		 */
		void onNotice(BackendRun run, ServerNotice notice, long sentMillis);

	}

}
