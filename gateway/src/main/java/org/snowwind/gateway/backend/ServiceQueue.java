package org.snowwind.gateway.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.snowwind.decide.admission.UrgencyQueue;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * The requests of one service that wait for a server, the most urgent first. Confined to
 * the event loop.
 *
 * <p>
 * Answers bursts of requests of unequal urgency. Every request that needs a server passes
 * the queue, so a new one is sent before a waiting one only if it is before it in the
 * order of {@link UrgencyQueue} or if the waiting one cannot be sent to the free servers.
 * Servers with room do not stay idle for the sake of more urgent requests to come.
 *
 * <p>
 * A decision makes, for each lane, one choice of a server that fails, one or two for each
 * request that is passed over, and one for each request that is sent, however many wait.
 */
public final class ServiceQueue {

	/**
	 * The maximum number of waiting requests. At the time of a second that callers accept
	 * until an answer begins, a gateway would have to send a request every millisecond to
	 * serve more, far more than it carries.
	 */
	static final int MAX_WAITING = 1000;

	/**
	 * The number of requests that a decision passes over in one lane because of the
	 * servers that they have tried. Few requests have tried any.
	 */
	static final int MAX_SKIPPED = 16;

	/** The minimum time between two log lines, in milliseconds. */
	private static final long LOG_PERIOD_MILLIS = 1000;

	private final String service;

	private final Admission admission;

	private final UrgencyQueue<Lane, Waiter> queue = new UrgencyQueue<>(MAX_SKIPPED);

	private final Map<Waiter, UrgencyQueue.Entry<Lane, Waiter>> entries = new HashMap<>();

	private final List<UrgencyQueue.Entry<Lane, Waiter>> undecided = new ArrayList<>();

	private long nextLogMillis = Long.MIN_VALUE;

	private int overtakes;

	private boolean running;

	private boolean runAgain;

	/**
	 * Creates an empty queue.
	 * @param service the service's name
	 * @param admission chooses servers and decides who may wait
	 */
	public ServiceQueue(String service, Admission admission) {
		this.service = service;
		this.admission = admission;
	}

	/**
	 * Decides what happens to a request and tells it now or later. Requests that wait
	 * already get free servers first.
	 * @param waiter the request
	 * @param priority its priority, 0 is the most urgent
	 * @param organisation the organisation that sent it; {@code null} if it is not known
	 */
	public void submit(Waiter waiter, int priority, String organisation) {
		wake();
		Arrival arrival = waiter.arrival();
		Lane lane = new Lane(arrival.engine(), arrival.pauseTargetMillis(), arrival.maxQueuedAtServer());
		UrgencyQueue.Entry<Lane, Waiter> entry = this.queue.add(waiter, lane, priority, organisation,
				arrival.arrivedMillis() + arrival.targetMillis());
		this.entries.put(waiter, entry);
		this.undecided.add(entry);
		run();
	}

	/**
	 * Removes a request if it is still queued.
	 * @param waiter the request
	 */
	public void withdraw(Waiter waiter) {
		UrgencyQueue.Entry<Lane, Waiter> entry = this.entries.get(waiter);
		if (entry != null) {
			remove(entry);
		}
	}

	private void remove(UrgencyQueue.Entry<Lane, Waiter> entry) {
		this.queue.remove(entry);
		this.entries.remove(entry.work());
	}

	/**
	 * Returns whether no request waits.
	 * @return true if the queue is empty
	 */
	public boolean isEmpty() {
		return this.queue.size() == 0;
	}

	/**
	 * Sends the waiting requests for which there is room, and rejects those that can no
	 * longer be sent in time. To be called when room may have come.
	 */
	public void wake() {
		if (!isEmpty()) {
			run();
		}
	}

	// A request that is sent may fail at once and come back, or end another one.
	private void run() {
		if (this.running) {
			this.runAgain = true;
			return;
		}
		this.running = true;
		try {
			do {
				this.runAgain = false;
				rejectOverdue();
				sendInOrder();
				decideWaits();
			}
			while (this.runAgain);
		}
		finally {
			this.running = false;
		}
	}

	private void rejectOverdue() {
		Optional<UrgencyQueue.Entry<Lane, Waiter>> first = this.queue.firstDue();
		while (first.isPresent() && !this.undecided.contains(first.get())) {
			Admission.Verdict verdict = this.admission.decideWait(first.get().work().arrival(), 0);
			if (!(verdict instanceof Admission.Verdict.Reject reject)) {
				return;
			}
			reject(first.get(), reject);
			first = this.queue.firstDue();
		}
	}

	private void sendInOrder() {
		UrgencyQueue<Lane, Waiter>.Scan scan = this.queue.scan();
		Optional<UrgencyQueue.Entry<Lane, Waiter>> next = scan.next();
		while (next.isPresent()) {
			UrgencyQueue.Entry<Lane, Waiter> entry = next.get();
			Arrival arrival = entry.work().arrival();
			Optional<Backend> chosen = this.admission.choose(arrival);
			if (chosen.isPresent()) {
				send(entry, chosen.get());
			}
			else if (!arrival.hasOwnNeeds() || this.admission.choose(arrival.withoutOwnNeeds()).isEmpty()) {
				scan.leaveLane(entry);
			}
			else {
				scan.skip(entry);
			}
			next = scan.next();
		}
	}

	private void send(UrgencyQueue.Entry<Lane, Waiter> entry, Backend backend) {
		remove(entry);
		notifyWaiter(entry, () -> {
			recordOvertaking(entry);
			entry.work().onServer(backend);
		});
	}

	// An event of one request may be notified on behalf of another one.
	private void notifyWaiter(UrgencyQueue.Entry<Lane, Waiter> entry, Runnable event) {
		try {
			event.run();
		}
		catch (RuntimeException | Error ex) {
			withdraw(entry.work());
			entry.work().onFault(ex);
		}
	}

	private void recordOvertaking(UrgencyQueue.Entry<Lane, Waiter> sent) {
		Optional<UrgencyQueue.Entry<Lane, Waiter>> overtaken = this.queue.longestWaitingBefore(sent);
		if (overtaken.isEmpty()) {
			return;
		}
		this.overtakes++;
		long nowMillis = this.admission.nowMillis();
		if (nowMillis >= this.nextLogMillis) {
			EventLog.log(Event.REQUEST_OVERTAKES, "request", sent.work().id(), "priority", sent.priority(), "overtaken",
					overtaken.get().work().id(), "overtakenPriority", overtaken.get().priority(), "service",
					this.service, "waiting", this.queue.size(), "times", this.overtakes);
			this.nextLogMillis = nowMillis + LOG_PERIOD_MILLIS;
			this.overtakes = 0;
		}
	}

	private void decideWaits() {
		List<UrgencyQueue.Entry<Lane, Waiter>> added = List.copyOf(this.undecided);
		this.undecided.clear();
		added.forEach(this::decideWait);
	}

	private void decideWait(UrgencyQueue.Entry<Lane, Waiter> entry) {
		if (this.entries.get(entry.work()) != entry) {
			return;
		}
		int queuedAhead = this.queue.sizeUpTo(entry.priority()) - 1;
		Admission.Verdict verdict = this.admission.decideWait(entry.work().arrival(), queuedAhead);
		if (verdict instanceof Admission.Verdict.Reject reject) {
			reject(entry, reject);
			return;
		}
		notifyWaiter(entry, entry.work()::onWaiting);
		if (this.queue.size() > MAX_WAITING) {
			this.queue.last().ifPresent((last) -> reject(last, this.admission.overflow(this.service)));
		}
	}

	private void reject(UrgencyQueue.Entry<Lane, Waiter> entry, Admission.Verdict.Reject reject) {
		remove(entry);
		notifyWaiter(entry, () -> entry.work().onRejected(reject));
	}

	/**
	 * A request that needs a server.
	 */
	public interface Waiter {

		/**
		 * Returns the id of the request.
		 * @return the id, for the log
		 */
		String id();

		/**
		 * Returns the requirements of the request.
		 * @return the current requirements
		 */
		Arrival arrival();

		/**
		 * Called when the request begins to wait.
		 */
		void onWaiting();

		/**
		 * Called once a server has room. The request is not queued any more.
		 * @param backend the server
		 */
		void onServer(Backend backend);

		/**
		 * Called if no server will have room in time. The request is not queued any more.
		 * @param reject the reason
		 */
		void onRejected(Admission.Verdict.Reject reject);

		/**
		 * Called if another method of the request failed. The request is not queued any
		 * more and has to end.
		 * @param fault the failure
		 */
		void onFault(Throwable fault);

	}

	/**
	 * Requirements that requests share, except for the servers that single requests have
	 * tried.
	 *
	 * @param engine the performance of the service's engines, may be {@code null}
	 * @param pauseTargetMillis the maximum pause that is on time, in milliseconds
	 * @param maxQueuedAtServer how many requests may queue at a server
	 */
	private record Lane(EngineProfile engine, long pauseTargetMillis, int maxQueuedAtServer) {

	}

}
