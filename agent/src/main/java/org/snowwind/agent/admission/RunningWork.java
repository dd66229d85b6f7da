package org.snowwind.agent.admission;

import java.util.LinkedHashMap;
import java.util.Map;

import org.snowwind.http.client.UpstreamCall;
import org.snowwind.http.client.UpstreamListener;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.model.AttemptHeaders;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;

/**
 * An attempt that was handed to the back end: passes the answer on. Confined to the loop.
 */
final class RunningWork implements UpstreamListener {

	private final Work work;

	private final BackendLane lane;

	private final long startMillis;

	private final int runningThen;

	private final HttpExchange exchange;

	private UpstreamCall call;

	private boolean callerGone;

	private boolean over;

	RunningWork(Work work, BackendLane lane, long startMillis, int runningThen) {
		this.work = work;
		this.lane = lane;
		this.startMillis = startMillis;
		this.runningThen = runningThen;
		this.exchange = work.exchange();
		this.exchange.onGone(this::callerGone);
		this.exchange.onWritableChange(this::adjustReading);
	}

	void sentAs(UpstreamCall sent) {
		this.call = sent;
	}

	String organisation() {
		return this.work.organisation();
	}

	long startMillis() {
		return this.startMillis;
	}

	int runningThen() {
		return this.runningThen;
	}

	@Override
	public void onHead(int status, Map<String, String> headers) {
		this.lane.sample(this, this.lane.clock().nowMillis() - this.startMillis);
		if (this.callerGone) {
			return;
		}
		this.exchange.begin(status, agentHeaders(headers));
	}

	// A back end that used the agents' own headers would speak as its agent, which could
	// say that work that ran did not.
	private Map<String, String> agentHeaders(Map<String, String> backendHeaders) {
		Map<String, String> headers = new LinkedHashMap<>(backendHeaders);
		headers.keySet().removeIf((name) -> name.startsWith(AttemptHeaders.PREFIX));
		headers.put(Disclosure.HEADER, Disclosure.ANSWERED.headerValue());
		headers.put(AttemptHeaders.ATTEMPT, this.work.id().toString());
		return headers;
	}

	@Override
	public void onBytes(byte[] bytes) {
		if (!this.callerGone) {
			this.exchange.write(bytes);
			adjustReading();
		}
	}

	@Override
	public void onEnd() {
		this.lane.answered(this);
		if (!this.callerGone) {
			this.exchange.end();
		}
		over();
	}

	@Override
	public void onFailure(boolean maybeSent, Throwable cause) {
		if (!maybeSent) {
			this.lane.neverReachedBackend(this.work);
		}
		if (!this.callerGone) {
			tellFailure(maybeSent);
		}
		over();
	}

	void cutOff() {
		this.call.cancel();
		if (!this.callerGone) {
			tellFailure(true);
		}
		over();
	}

	private void tellFailure(boolean maybeSent) {
		if (this.exchange.begun()) {
			this.exchange.abort();
		}
		else if (maybeSent) {
			Refusals.tell(this.exchange, new Problem(ProblemKind.BACKEND_FAILED,
					"the back end broke off before an answer", Disclosure.UNKNOWN, 0));
		}
		else {
			Refusals.tell(this.exchange, Problem.notRun(ProblemKind.NO_SERVER, "the back end cannot be reached"));
		}
	}

	// Repeatable work is cancelled. Other work goes on to its end, because its effect may
	// have begun and cutting it off would make it half an effect.
	private void callerGone() {
		this.callerGone = true;
		if (this.work.repeatable()) {
			this.call.cancel();
			over();
		}
		else {
			this.call.reading(true);
		}
	}

	private void adjustReading() {
		if (!this.over && !this.callerGone) {
			this.call.reading(this.exchange.writable());
		}
	}

	private void over() {
		if (!this.over) {
			this.over = true;
			this.lane.ended(this);
		}
	}

}
