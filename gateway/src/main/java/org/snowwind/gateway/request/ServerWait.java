package org.snowwind.gateway.request;

import java.util.function.Supplier;

import io.netty.util.concurrent.Future;
import org.snowwind.gateway.backend.Admission;
import org.snowwind.gateway.backend.Arrival;
import org.snowwind.gateway.backend.Backend;
import org.snowwind.gateway.backend.ServiceQueue;
import org.snowwind.gateway.table.RequestPriorities;

/**
 * The search of one request for a server. Confined to the event loop.
 *
 * <p>
 * Requests with a priority wait in the queue of their service. The others ask again at
 * short intervals, each on its own.
 */
final class ServerWait implements ServiceQueue.Waiter {

	/** How often a waiting request without a priority asks, in milliseconds. */
	private static final long POLL_MILLIS = 10;

	private final RequestContext context;

	private final CallerRequest request;

	private final Supplier<Arrival> requirements;

	private final Listener listener;

	private Future<?> pollTimer;

	private boolean waiting;

	/**
	 * Creates a search that is not started yet.
	 * @param context the components that requests share
	 * @param request the request
	 * @param requirements supplies the current requirements of the request
	 * @param listener notified of the result
	 */
	ServerWait(RequestContext context, CallerRequest request, Supplier<Arrival> requirements, Listener listener) {
		this.context = context;
		this.request = request;
		this.requirements = requirements;
		this.listener = listener;
	}

	/**
	 * Records the arrival of the request in the metrics.
	 */
	void recordArrival() {
		if (this.request.priority() != RequestPriorities.NONE) {
			count("arrived");
		}
	}

	/**
	 * Looks for a server. The listener is notified now or later.
	 */
	void seek() {
		if (this.request.priority() != RequestPriorities.NONE) {
			this.context.waiting()
				.submit(this.request.service(), this, this.request.priority(), this.request.organisation());
			return;
		}
		Admission.Verdict verdict = this.context.admission().decide(arrival());
		setWaiting(verdict instanceof Admission.Verdict.Wait);
		if (verdict instanceof Admission.Verdict.Send send) {
			this.listener.onServer(send.backend());
		}
		else if (verdict instanceof Admission.Verdict.Wait) {
			this.pollTimer = this.context.loop().later(this.listener::onPoll, POLL_MILLIS);
		}
		else if (verdict instanceof Admission.Verdict.Reject reject) {
			this.listener.onRejected(reject);
		}
	}

	/**
	 * Ends the search without a result.
	 */
	void cancel() {
		setWaiting(false);
		if (this.pollTimer != null) {
			this.pollTimer.cancel(false);
		}
		if (this.request.priority() != RequestPriorities.NONE) {
			this.context.waiting().withdraw(this.request.service(), this);
		}
	}

	/**
	 * Returns whether the request waits for a server that accepts it.
	 * @return true from the decision to wait until there is a server or none in time
	 */
	boolean isWaiting() {
		return this.waiting;
	}

	private void setWaiting(boolean nowWaiting) {
		if (nowWaiting != this.waiting) {
			this.waiting = nowWaiting;
			this.context.backends().limits().changeWaiting(this.request.service(), nowWaiting ? 1 : -1);
		}
	}

	@Override
	public String id() {
		return this.request.id();
	}

	@Override
	public Arrival arrival() {
		return this.requirements.get();
	}

	@Override
	public void onWaiting() {
		setWaiting(true);
		count("waited");
	}

	@Override
	public void onServer(Backend backend) {
		setWaiting(false);
		count("sent");
		this.listener.onServer(backend);
	}

	@Override
	public void onRejected(Admission.Verdict.Reject reject) {
		setWaiting(false);
		count("rejected");
		this.listener.onRejected(reject);
	}

	@Override
	public void onFault(Throwable fault) {
		this.listener.onFault(fault);
	}

	private void count(String step) {
		this.context.meters().countPriority(this.request.service(), this.request.priority(), step);
	}

	/**
	 * Notified of the result of a search.
	 */
	interface Listener {

		/**
		 * Called when the search is to be started again.
		 */
		void onPoll();

		/**
		 * Called when a server has room.
		 * @param backend the server
		 */
		void onServer(Backend backend);

		/**
		 * Called when no server will have room in time.
		 * @param reject the reason
		 */
		void onRejected(Admission.Verdict.Reject reject);

		/**
		 * Called when the search failed, or what the listener did with its result.
		 * @param fault the failure
		 */
		void onFault(Throwable fault);

	}

}
