package org.snowwind.gateway.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.snowwind.model.MonotonicClock;

/**
 * Decides whether a request is sent to a server, waits for one or is rejected. Confined
 * to the event loop.
 *
 * <p>
 * Handles moments in which the servers cannot take all requests that arrive. A request
 * whose answer can still begin on time waits for a free place. Any other is rejected
 * immediately, so that its caller can retry while there is time. No request waits for
 * servers that are known to reject all requests, and no more requests wait for servers
 * with a limited rate than can be sent in time.
 */
public final class Admission {

	private final BackendTable backends;

	private final MonotonicClock clock;

	private final Map<String, StartTime> startTimes = new HashMap<>();

	/**
	 * Creates an admission control for a set of servers.
	 * @param backends the servers
	 * @param clock the clock
	 */
	public Admission(BackendTable backends, MonotonicClock clock) {
		this.backends = backends;
		this.clock = clock;
	}

	/**
	 * Records that an answer has begun.
	 * @param service the service's name
	 * @param tookMillis how long after the request was sent, in milliseconds
	 */
	public void onAnswerStart(String service, long tookMillis) {
		startTime(service).observe(tookMillis);
	}

	long nowMillis() {
		return this.clock.nowMillis();
	}

	private StartTime startTime(String service) {
		return this.startTimes.computeIfAbsent(service, (name) -> new StartTime());
	}

	/**
	 * Decides what happens to a request. If no server has room, the request waits as long
	 * as its answer could still begin on time.
	 * @param arrival the request
	 * @return the decision
	 */
	public Verdict decide(Arrival arrival) {
		Optional<Backend> chosen = choose(arrival);
		if (chosen.isPresent()) {
			return new Verdict.Send(chosen.get());
		}
		return decideWait(arrival, this.backends.limits().waiting(arrival.service()));
	}

	/**
	 * Decides whether a request waits for which no server has room.
	 * @param arrival the request
	 * @param queued the number of waiting requests that are sent before it if it does not
	 * wait already
	 * @return {@link Verdict.Wait} or {@link Verdict.Reject}
	 */
	Verdict decideWait(Arrival arrival, int queued) {
		int queuedAhead = arrival.alreadyWaiting() ? 0 : queued;
		long startMillis = startTime(arrival.service()).upperBoundMillis();
		long latestSendMillis = arrival.arrivedMillis() + arrival.targetMillis() - startMillis;
		ServiceOutage outage = this.backends.outage(arrival.service());
		if (outage.total()) {
			return decideInOutage(queuedAhead, outage, latestSendMillis, startMillis);
		}
		long leftMillis = latestSendMillis - this.clock.nowMillis();
		// Queued requests keep their position; new arrivals queue behind them.
		long queueMillis = this.backends.limits().queueMillis(arrival.service(), queuedAhead);
		boolean inTime = leftMillis > queueMillis;
		return inTime ? new Verdict.Wait() : new Verdict.Reject(false, startMillis, queueMillis, 0);
	}

	private Verdict decideInOutage(int queuedAhead, ServiceOutage outage, long latestSendMillis, long startMillis) {
		if (queuedAhead < outage.returningBy(latestSendMillis)) {
			return new Verdict.Wait();
		}
		return new Verdict.Reject(true, startMillis, 0, outage.millisToReturn(this.clock.nowMillis()));
	}

	/**
	 * Returns the rejection of a request because too many requests wait.
	 * @param service the service's name
	 * @return the rejection
	 */
	Verdict.Reject overflow(String service) {
		return new Verdict.Reject(false, startTime(service).upperBoundMillis(), 0, 0);
	}

	/**
	 * Chooses a server that has room for a request, if possible one that it has not
	 * tried.
	 * @param arrival the request
	 * @return the server, empty if none has room
	 */
	Optional<Backend> choose(Arrival arrival) {
		ServerRequirements requirements = arrival.requirements();
		Optional<Backend> untried = this.backends.choose(requirements);
		boolean allTried = !this.backends.anyUntriedAvailable(arrival.service(), arrival.tried());
		if (untried.isPresent() || !allTried) {
			return untried;
		}
		return this.backends.choose(requirements.withoutExclusions());
	}

	/**
	 * Chooses a server that can take a replacement for a silent attempt: one that has
	 * room, is trusted, is not silent itself and has not been tried.
	 * @param arrival the request
	 * @return the server, empty if there is none
	 */
	public Optional<Backend> chooseReplacement(Arrival arrival) {
		return this.backends.chooseHeard(arrival.requirements());
	}

	/**
	 * The decision about a request.
	 */
	public sealed interface Verdict {

		/**
		 * The request is sent.
		 *
		 * @param backend the server that it is sent to
		 */
		record Send(Backend backend) implements Verdict {

		}

		/**
		 * The request waits, since a place may become free in time.
		 */
		record Wait() implements Verdict {

		}

		/**
		 * The request is rejected.
		 *
		 * @param closed whether all servers reject requests now, which lasts for seconds
		 * @param startMillis the time within which nearly all recent answers of the
		 * service have begun, in milliseconds
		 * @param queueMillis the queueing delay until the request could be sent to a
		 * limited server, in milliseconds; 0 if no limit is the reason
		 * @param returnMillis the time until the first server that backs off may be sent
		 * requests again, in milliseconds; 0 if none backs off
		 */
		record Reject(boolean closed, long startMillis, long queueMillis, long returnMillis) implements Verdict {

		}

	}

}
