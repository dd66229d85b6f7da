package org.snowwind.gateway.backend;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

import org.snowwind.decide.limit.ColdFleet;
import org.snowwind.decide.limit.ColdShare;

/**
 * What all servers have in common while they are cold: the bound of each service and the
 * gateways that divide it. Confined to the event loop, except for the counter.
 */
public final class ColdServers {

	private final Bound bound;

	private final ToDoubleFunction<String> coldPerSecond;

	private final Supplier<ColdShare.Fleet> observed;

	private final ColdFleet fleet;

	private final AtomicLong withheld = new AtomicLong();

	/**
	 * Creates the state of a gateway that has just started.
	 * @param bound how far the rate of a service may be exceeded
	 * @param coldPerSecond returns the requests per second that a cold server of a
	 * service takes; 0 if its servers need no protection
	 * @param observed supplies the gateways that are known now
	 * @param startedMillis when this process was started, in milliseconds
	 */
	public ColdServers(Bound bound, ToDoubleFunction<String> coldPerSecond, Supplier<ColdShare.Fleet> observed,
			long startedMillis) {
		this.bound = bound;
		this.coldPerSecond = coldPerSecond;
		this.observed = observed;
		this.fleet = new ColdFleet(startedMillis);
	}

	/**
	 * Returns the state of a gateway that does not protect cold servers.
	 * @return an instance for which no server needs protection
	 */
	public static ColdServers unprotected() {
		return new ColdServers(new Bound(0, 0), (service) -> 0, () -> new ColdShare.Fleet("", 0, Set.of()), 0);
	}

	/**
	 * Returns how often a cold server was left out of a choice, since this gateway had
	 * sent it its share.
	 * @return a number that only grows; any thread may call this
	 */
	public long withheldCount() {
		return this.withheld.get();
	}

	void recordWithheld() {
		this.withheld.incrementAndGet();
	}

	/**
	 * Updates the known gateways. This must happen several times a second.
	 * @param nowMillis the time, in milliseconds
	 */
	void refresh(long nowMillis) {
		if (this.bound.over() > 0) {
			this.fleet.observe(this.observed.get(), nowMillis);
		}
	}

	/**
	 * Returns how many requests a cold server may get in any second from all gateways.
	 * @param service the service of the server
	 * @return a number of requests; 0 if its servers need no protection
	 */
	double boundRequests(String service) {
		double perSecond = (this.bound.over() > 0) ? this.coldPerSecond.applyAsDouble(service) : 0;
		return (perSecond > 0) ? perSecond * this.bound.over() + this.bound.slackRequests() : 0;
	}

	/**
	 * Returns the gateways among which requests are divided.
	 * @param nowMillis the time, in milliseconds
	 * @return the gateways, empty if this gateway may send none
	 */
	Optional<ColdShare.Fleet> fleet(long nowMillis) {
		return this.fleet.usable(nowMillis);
	}

	/**
	 * By how much the rate of a service may be exceeded within a second.
	 *
	 * @param over the factor; 0 if cold servers are not protected
	 * @param slackRequests further requests
	 */
	public record Bound(double over, double slackRequests) {

	}

}
