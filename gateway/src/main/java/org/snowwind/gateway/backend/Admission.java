package org.snowwind.gateway.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.snowwind.model.MonotonicClock;

/**
 * Decides whether a request is sent to a server, waits for one or is rejected. Confined
 * to the loop.
 *
 * <p>
 * Load answered: moments in which the servers have no room for all that arrives. A
 * request that can still begin on time waits for a place; one that cannot is rejected at
 * once, so that its caller can come back while there is time. Nothing waits for servers
 * that are known to take nothing, nor more requests than servers that take a limited rate
 * will be sent in time.
 */
public final class Admission {

	private final BackendTable backends;

	private final MonotonicClock clock;

	private final Map<String, StartTime> startTimes = new HashMap<>();

	/**
	 * Creates the decision.
	 * @param backends the servers
	 * @param clock tells the time
	 */
	public Admission(BackendTable backends, MonotonicClock clock) {
		this.backends = backends;
		this.clock = clock;
	}

	/**
	 * Takes note that an answer has begun.
	 * @param service the service's name
	 * @param tookMillis how long after the request was sent, in milliseconds
	 */
	public void began(String service, long tookMillis) {
		startTime(service).began(tookMillis);
	}

	private StartTime startTime(String service) {
		return this.startTimes.computeIfAbsent(service, (name) -> new StartTime());
	}

	/**
	 * Decides about a request. One that finds no room waits as long as it could still
	 * begin on time: played by the load model over nine loads a request is worth 0.01
	 * more than where nobody waits.
	 * @param arrival the request
	 * @return what becomes of it now
	 */
	public Verdict decide(Arrival arrival) {
		Optional<Backend> chosen = choose(arrival);
		if (chosen.isPresent()) {
			return new Verdict.Send(chosen.get());
		}
		long startMillis = startTime(arrival.service()).nearlyAllMillis();
		long waitsUntilMillis = arrival.arrivedMillis() + arrival.targetMillis() - startMillis;
		ServiceOutage outage = this.backends.outage(arrival.service());
		if (outage.total()) {
			return decideInOutage(arrival, outage, waitsUntilMillis, startMillis);
		}
		long leftMillis = waitsUntilMillis - this.clock.nowMillis();
		// Queued requests keep their position; new arrivals queue behind them.
		long queueMillis = arrival.waits() ? 0 : this.backends.limits().queueMillis(arrival.service());
		boolean inTime = leftMillis > queueMillis;
		return inTime ? new Verdict.Wait() : new Verdict.Reject(false, startMillis, queueMillis, 0);
	}

	private Verdict decideInOutage(Arrival arrival, ServiceOutage outage, long waitsUntilMillis, long startMillis) {
		int ahead = arrival.waits() ? 0 : this.backends.limits().waiting(arrival.service());
		if (ahead < outage.returningBy(waitsUntilMillis)) {
			return new Verdict.Wait();
		}
		return new Verdict.Reject(true, startMillis, 0, outage.millisToReturn(this.clock.nowMillis()));
	}

	private Optional<Backend> choose(Arrival arrival) {
		Wanted wanted = arrival.wanted();
		Optional<Backend> untried = this.backends.choose(wanted);
		boolean allTried = !this.backends.anyLeft(arrival.service(), arrival.tried());
		if (untried.isPresent() || !allTried) {
			return untried;
		}
		return this.backends.choose(wanted.anyServer());
	}

	/**
	 * What becomes of a request.
	 */
	public sealed interface Verdict {

		/**
		 * It is sent.
		 *
		 * @param backend where to
		 */
		record Send(Backend backend) implements Verdict {

		}

		/**
		 * It waits, since a place may come in time.
		 */
		record Wait() implements Verdict {

		}

		/**
		 * It is rejected.
		 *
		 * @param closed whether no server takes anything now, which lasts for seconds
		 * @param startMillis within which time nearly all answers of the service have
		 * begun lately, in milliseconds
		 * @param queueMillis after which time a limited server could be sent it, in
		 * milliseconds; 0 if no limit is the reason
		 * @param returnMillis in how long the first server that backs off may be sent
		 * requests again, in milliseconds; 0 if none backs off
		 */
		record Reject(boolean closed, long startMillis, long queueMillis, long returnMillis) implements Verdict {

		}

	}

}
