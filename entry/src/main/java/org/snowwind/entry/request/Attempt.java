package org.snowwind.entry.request;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import io.netty.util.concurrent.Future;
import org.snowwind.decide.ledger.AttemptId;
import org.snowwind.decide.outcome.AttemptEnd;
import org.snowwind.entry.member.Server;
import org.snowwind.http.client.UpstreamCall;
import org.snowwind.http.client.UpstreamListener;
import org.snowwind.http.client.UpstreamRequest;
import org.snowwind.model.AttemptHeaders;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

/**
 * One attempt of a request at one server. Confined to the loop.
 */
final class Attempt implements UpstreamListener {

	private static final String OUTCOME = Disclosure.HEADER.toLowerCase(Locale.ROOT);

	private static final int MIN_BUDGET_MILLIS = 1;

	/** After how long it is asked again whether another server can take over. */
	private static final long RECHECK_MILLIS = 100;

	private static final int CLIENT_ERROR = 400;

	private static final int SERVER_ERROR = 500;

	private final RequestContext context;

	private final CallerRequest request;

	private final Server server;

	private final AttemptId id;

	private final long agentIncarnation;

	private final AttemptObserver observer;

	private final Runnable whenLost;

	private UpstreamCall call;

	private Future<?> timer;

	private boolean headArrived;

	/** The attentive time of the last byte of the answer. */
	private long heardAttentiveMillis;

	private boolean over;

	private String cause = "none";

	private ProblemKind refusal;

	private Disclosure refusalDisclosure;

	Attempt(RequestContext context, CallerRequest request, Server server, AttemptObserver observer) {
		this.context = context;
		this.request = request;
		this.server = server;
		this.observer = observer;
		this.id = context.sequence().begin();
		this.agentIncarnation = server.incarnation();
		this.whenLost = request.repeatable() ? () -> giveUpIfAllowed("server suspected") : this::waitOn;
	}

	/**
	 * Sends the attempt.
	 * @param budgetMillis what is left of the request's budget, in milliseconds
	 * @param headWithinMillis how long its answer may take to begin, in milliseconds
	 * @param resumeAt from which token on the answer is wanted
	 */
	void send(long budgetMillis, long headWithinMillis, int resumeAt) {
		this.server.sent(this.whenLost);
		this.server.breaker().recordSent();
		this.timer = this.context.loop().later(() -> giveUpIfAllowed("no answer in time"), headWithinMillis);
		Map<String, String> headers = new HashMap<>(this.request.headers());
		headers.put(AttemptHeaders.ATTEMPT, this.id.toString());
		headers.put(AttemptHeaders.INCARNATION, Long.toHexString(this.agentIncarnation));
		headers.put(AttemptHeaders.BUDGET_MILLIS, Long.toString(Math.max(MIN_BUDGET_MILLIS, budgetMillis)));
		headers.put(AttemptHeaders.HEAD_WITHIN_MILLIS, Long.toString(headWithinMillis));
		headers.put(AttemptHeaders.ORGANISATION, this.request.organisation());
		headers.put(AttemptHeaders.CREDENTIAL, this.context.fleetCredential());
		headers.put(AttemptHeaders.REPEATABLE, Boolean.toString(this.request.repeatable()));
		headers.put(AttemptHeaders.RESUME_AT, Integer.toString(resumeAt));
		headers.put(AttemptHeaders.COST, Double.toString(this.request.cost()));
		headers.remove("content-length");
		String url = "http://" + this.server.spec().address() + "/targets/" + this.request.target()
				+ this.request.pathAndQuery();
		this.call = this.context.client()
			.send(new UpstreamRequest(this.request.method(), url, headers, this.request.body()), this);
	}

	AttemptId id() {
		return this.id;
	}

	Server server() {
		return this.server;
	}

	long agentIncarnation() {
		return this.agentIncarnation;
	}

	ProblemKind refusal() {
		return this.refusal;
	}

	boolean headArrived() {
		return this.headArrived;
	}

	/**
	 * Tells why the attempt ended.
	 * @return a few words for the log
	 */
	String cause() {
		return this.cause;
	}

	void reading(boolean reading) {
		if (this.over || this.call == null) {
			return;
		}
		this.call.reading(reading);
		restartStallTimer(reading);
	}

	/**
	 * Ends the attempt without a word to its observer.
	 */
	void abandon() {
		if (!this.over) {
			close();
			this.server.breaker().recordWithdrawn();
			cancelCall();
		}
	}

	private void cancelCall() {
		if (this.call != null) {
			this.call.cancel();
		}
	}

	@Override
	public void onHead(int status, Map<String, String> headers) {
		if (!answersThis(status, headers.get(AttemptHeaders.ATTEMPT))) {
			fail("answer of attempt " + headers.get(AttemptHeaders.ATTEMPT));
			return;
		}
		this.headArrived = true;
		this.server.headArrived(this.whenLost);
		String refusalCode = headers.get(AttemptHeaders.REFUSAL);
		if (refusalCode != null) {
			this.refusal = ProblemKind.ofCode(refusalCode);
			boolean notRun = Disclosure.NOT_RUN.headerValue().equals(headers.get(OUTCOME));
			this.refusalDisclosure = notRun ? Disclosure.NOT_RUN : Disclosure.UNKNOWN;
			return;
		}
		restartStallTimer(true);
		this.observer.answerBegins(status, headers);
	}

	// Known by the id that it names: on a connection that carries one attempt after
	// another, the place of an answer does not tell whose it is. Only what an agent's
	// HTTP server rejects before it has read an id is answered without one.
	private boolean answersThis(int status, String namedId) {
		if (namedId == null) {
			return status >= CLIENT_ERROR && status < SERVER_ERROR;
		}
		return namedId.equals(this.id.toString());
	}

	@Override
	public void onBytes(byte[] bytes) {
		if (!this.headArrived) {
			fail("bytes without a head");
			return;
		}
		if (this.refusal == null) {
			restartStallTimer(true);
			this.observer.answerBytes(bytes);
		}
	}

	@Override
	public void onEnd() {
		if (!this.headArrived) {
			fail("an end without a head");
			return;
		}
		if (this.refusal != null) {
			finish((this.refusalDisclosure == Disclosure.NOT_RUN) ? AttemptEnd.REFUSED : AttemptEnd.BEGAN_THEN_BROKE);
			return;
		}
		finish(AttemptEnd.ANSWERED);
	}

	@Override
	public void onFailure(boolean maybeSent, Throwable thrown) {
		this.cause = String.valueOf(thrown.getMessage());
		if (!maybeSent) {
			finish(AttemptEnd.NOT_SENT);
			return;
		}
		finish(brokenEnd());
	}

	// Work that may not be repeated is not given up because its server falls silent: the
	// server may wake and answer within the budget.
	private void waitOn() {
		// Its timer is the deadline.
	}

	/**
	 * Gives the attempt up.
	 * @param reason why, for the log
	 */
	void fail(String reason) {
		if (!this.over) {
			this.cause = reason;
			cancelCall();
			finish(brokenEnd());
		}
	}

	// A server that is silent may still answer, so its attempt is kept until another
	// server is certain to take over.
	private void giveUpIfAllowed(String reason) {
		if (this.over) {
			return;
		}
		if (this.observer.isReplaceable(brokenEnd())) {
			fail(reason);
			return;
		}
		this.timer.cancel(false);
		this.timer = this.context.loop().later(() -> giveUpIfAllowed(reason), RECHECK_MILLIS);
	}

	private AttemptEnd brokenEnd() {
		return this.headArrived ? AttemptEnd.BEGAN_THEN_BROKE : AttemptEnd.SENT_THEN_LOST;
	}

	private void restartStallTimer(boolean running) {
		this.timer.cancel(false);
		if (running && !this.over) {
			this.heardAttentiveMillis = attentiveMillis();
			this.timer = this.context.loop().later(this::giveUpIfSilent, this.context.streamStallMillis());
		}
	}

	// The timer is also due after a pause of this process in which nothing was read.
	private void giveUpIfSilent() {
		long leftMillis = this.context.streamStallMillis() - (attentiveMillis() - this.heardAttentiveMillis);
		if (leftMillis <= 0) {
			giveUpIfAllowed("silent");
			return;
		}
		this.timer = this.context.loop().later(this::giveUpIfSilent, leftMillis);
	}

	private long attentiveMillis() {
		return this.context.servers().attentive().millis(this.context.clock().nowMillis());
	}

	private void finish(AttemptEnd end) {
		if (this.over) {
			return;
		}
		close();
		judgeServer(end);
		this.context.meters().attempt(this.request, end.name());
		this.observer.attemptEnded(end);
	}

	private void close() {
		this.over = true;
		this.timer.cancel(false);
		this.server.ended(this.whenLost);
	}

	private void judgeServer(AttemptEnd end) {
		long nowMillis = this.context.clock().nowMillis();
		switch (end) {
			case ANSWERED -> this.server.breaker().recordSuccess(nowMillis);
			case NOT_SENT, SENT_THEN_LOST, LOST_FOR_GOOD, BEGAN_THEN_BROKE ->
				this.server.breaker().recordFailure(nowMillis);
			case REFUSED -> noteRefusal();
			case REVOKED -> this.server.breaker().recordWithdrawn();
		}
	}

	private void noteRefusal() {
		this.server.breaker().recordWithdrawn();
		if (this.refusal == ProblemKind.NOT_READY) {
			this.server.refusesNewWork();
		}
	}

}
