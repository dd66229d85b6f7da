package org.snowwind.gateway.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.snowwind.gateway.backend.Admission;
import org.snowwind.gateway.backend.ServiceQueue;
import org.snowwind.http.DataLoop;

/**
 * The queues of requests that wait for a server, one per service. Confined to the event
 * loop.
 */
public final class WaitingRequests {

	/**
	 * How often a queue that is not empty is looked at without another reason, in
	 * milliseconds. Limits that pass with time are not announced.
	 */
	private static final long TICK_MILLIS = 10;

	private final DataLoop loop;

	private final Admission admission;

	private final Map<String, ServiceQueue> queues = new HashMap<>();

	/**
	 * Creates empty queues.
	 * @param loop the event loop
	 * @param admission decides whether requests are sent, wait or are rejected
	 */
	public WaitingRequests(DataLoop loop, Admission admission) {
		this.loop = loop;
		this.admission = admission;
	}

	/**
	 * Sends the waiting requests for which there is room. To be called when servers of
	 * any service may have room.
	 */
	public void wakeAll() {
		List.copyOf(this.queues.values()).forEach(ServiceQueue::wake);
	}

	/**
	 * Sends the waiting requests of a service for which there is room.
	 * @param service the service's name
	 */
	void wake(String service) {
		ServiceQueue queue = this.queues.get(service);
		if (queue != null) {
			queue.wake();
		}
	}

	void submit(String service, ServiceQueue.Waiter waiter, int priority, String organisation) {
		ServiceQueue queue = this.queues.computeIfAbsent(service, this::create);
		queue.submit(waiter, priority, organisation);
	}

	private ServiceQueue create(String service) {
		ServiceQueue queue = new ServiceQueue(service, this.admission);
		this.loop.later(() -> tick(service), TICK_MILLIS);
		return queue;
	}

	// A queue exists as long as requests wait, so that an idle service has no timer.
	private void tick(String service) {
		ServiceQueue queue = this.queues.get(service);
		try {
			queue.wake();
		}
		finally {
			if (queue.isEmpty()) {
				this.queues.remove(service);
			}
			else {
				this.loop.later(() -> tick(service), TICK_MILLIS);
			}
		}
	}

	void withdraw(String service, ServiceQueue.Waiter waiter) {
		ServiceQueue queue = this.queues.get(service);
		if (queue != null) {
			queue.withdraw(waiter);
		}
	}

}
