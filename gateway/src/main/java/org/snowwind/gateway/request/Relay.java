package org.snowwind.gateway.request;

import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.util.concurrent.Future;
import org.snowwind.decide.outcome.AttemptEnd;
import org.snowwind.decide.outcome.NextStep;
import org.snowwind.decide.outcome.NextStepRules;
import org.snowwind.decide.outcome.Situation;
import org.snowwind.gateway.backend.Admission;
import org.snowwind.gateway.backend.Arrival;
import org.snowwind.gateway.backend.Backend;
import org.snowwind.gateway.backend.ServiceOutage;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Carries one request from its first attempt to its one end. Confined to the loop.
 *
 * <p>
 * What to do after each attempt is decided by {@link NextStepRules}; this class only does
 * it.
 */
final class Relay implements AttemptListener, NextStep.Cases {

	private static final int SERVER_ERROR = 500;

	/** Statuses that promise that a request has not run; only proof allows them. */
	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	/** Answers are given this much before their time ends, in milliseconds. */
	private static final long ANSWER_MARGIN_MILLIS = 25;

	/** How many servers may refuse or be out of reach before a request is given up. */
	private static final int MAX_SENDS = 5;

	/** How often a waiting request looks for a server, in milliseconds. */
	private static final long WAIT_STEP_MILLIS = 10;

	/** Before so much time is left, in milliseconds, nothing new is sent. */
	private static final long LEAST_USEFUL_MILLIS = 30;

	private final RequestContext context;

	private final CallerRequest request;

	private final HttpExchange exchange;

	private final Runnable whenEnded;

	private final Timing timing;

	private final long deadlineMillis;

	private final Set<String> tried = new HashSet<>();

	private long wantedSinceMillis;

	private final StreamPosition position;

	/** The type of the stream that the caller sees, {@code null} before it begins. */
	private String mediaType;

	private Future<?> deadlineTimer;

	private Future<?> waitTimer;

	private Attempt attempt;

	private int sends;

	/** How many sends a server may have received; the others reached none. */
	private int arrivals;

	private int runs;

	private final EventTimes times;

	private final RequestSuspicion suspicion;

	private boolean finished;

	/** After which time a limited server could be sent it, in milliseconds. */
	private long queueMillis;

	/** Whether it waits for a server that may be sent it. */
	private boolean waits;

	/**
	 * Creates the relay of a request.
	 * @param context what requests work with
	 * @param request the request
	 * @param exchange the way to answer
	 * @param whenEnded called when the request has ended
	 */
	Relay(RequestContext context, CallerRequest request, HttpExchange exchange, Runnable whenEnded) {
		this.context = context;
		this.request = request;
		this.exchange = exchange;
		this.whenEnded = whenEnded;
		this.timing = Timing.of(request.route());
		this.wantedSinceMillis = request.arrivedMillis();
		this.deadlineMillis = request.arrivedMillis() + request.head().allowedMillis(request.route())
				- ANSWER_MARGIN_MILLIS;
		this.times = new EventTimes(request.arrivedMillis());
		this.suspicion = new RequestSuspicion(context.suspects(), request);
		this.position = new StreamPosition(request.head().lastEventId());
	}

	void start() {
		this.exchange.onGone(this::callerGone);
		this.exchange.onWritableChange(this::adjustReading);
		this.deadlineTimer = this.context.loop().later(this::endNow, remainingMillis());
		this.context.budgets().request(this.request.service());
		this.context.backends().limits().arrived(this.request.service());
		dispatch();
	}

	private long remainingMillis() {
		return this.deadlineMillis - this.context.clock().nowMillis();
	}

	// ---- the steps

	@Override
	public void send() {
		dispatch();
	}

	@Override
	public void resume() {
		this.wantedSinceMillis = this.context.clock().nowMillis();
		EventLog.log(Event.STREAM_RESUMED, "request", this.request.id(), "after", this.position.lastId());
		dispatch();
	}

	@Override
	public void revoke() {
		throw new IllegalStateException("there is nobody to ask about an attempt that was sent straight to a server");
	}

	private void dispatch() {
		if (this.finished) {
			return;
		}
		// Whoever sends it, and wherever: each server that runs it costs all callers one.
		if (this.suspicion.blamed()) {
			logBlamed();
			finish(Disclosure.FAILED, ProblemKind.ENDS_SERVERS);
			return;
		}
		if (remainingMillis() < LEAST_USEFUL_MILLIS) {
			giveUpUnsent(ProblemKind.DEADLINE_NOT_RUN);
			return;
		}
		Admission.Verdict verdict = this.context.admission().decide(arrival());
		waits(verdict instanceof Admission.Verdict.Wait);
		if (verdict instanceof Admission.Verdict.Send send) {
			sendTo(send.backend());
		}
		else if (verdict instanceof Admission.Verdict.Wait) {
			this.waitTimer = this.context.loop().later(this::dispatch, WAIT_STEP_MILLIS);
		}
		else if (verdict instanceof Admission.Verdict.Reject reject) {
			logRejected(reject);
			this.queueMillis = reject.queueMillis();
			giveUpUnsent(ProblemKind.OVERLOADED);
		}
	}

	private void waits(boolean next) {
		if (next != this.waits) {
			this.waits = next;
			this.context.backends().limits().waits(this.request.service(), next ? 1 : -1);
		}
	}

	private void logBlamed() {
		EventLog.log(Event.BLAMED_REQUEST_REFUSED, "request", this.request.id(), "digest", this.suspicion.digest(),
				"organisation", this.request.organisation(), "sends", this.sends);
	}

	private void logRejected(Admission.Verdict.Reject reject) {
		EventLog.log(Event.REQUEST_TURNED_AWAY, "request", this.request.id(), "closed", reject.closed(), "startMillis",
				reject.startMillis(), "queueMillis", reject.queueMillis(), "returnMillis", reject.returnMillis(),
				"waitedMillis", this.context.clock().nowMillis() - this.wantedSinceMillis, "targetMillis",
				this.request.route().targetMillis(), "sends", this.sends, "registry",
				this.context.backends().revision());
	}

	private Arrival arrival() {
		return new Arrival(this.request.service(), this.tried, this.timing.mayWait(),
				this.request.destination().engine(), this.request.route().targetMillis(),
				this.request.route().pauseTargetMillis(), this.wantedSinceMillis, this.waits);
	}

	private void sendTo(Backend backend) {
		// While a request waited others may have spent what was left when it was allowed.
		if (!retryAllowed()) {
			giveUpUnsent(ProblemKind.OVERLOADED);
			return;
		}
		long remaining = remainingMillis();
		if (this.arrivals > 0) {
			this.context.budgets().retried(this.request.service());
		}
		this.sends++;
		this.arrivals++;
		this.tried.add(backend.id());
		EventLog.log(Event.REQUEST_SENT, "request", this.request.id(), "server", backend.id(), "attempt", this.sends,
				"load", backend.load(), "group", groupOf(backend), "groupLoad", groupLoadOf(backend), "passMillis",
				passMillisOf(backend), "slots", backend.entry().slots(), "registry", this.context.backends().revision(),
				"remainingMillis", remaining);
		this.attempt = new Attempt(this.context, this.request, backend, this.position.lastId(), this);
		this.attempt.send(remaining, patience(remaining));
	}

	private static String groupOf(Backend backend) {
		return (backend.group() != null) ? backend.group().name() : "";
	}

	private static int groupLoadOf(Backend backend) {
		return (backend.group() != null) ? backend.group().load() : 0;
	}

	private static long passMillisOf(Backend backend) {
		return (backend.group() != null) ? Math.round(backend.group().passMillis()) : 0;
	}

	// A silent server is given up only where another one may still take over.
	private Attempt.Patience patience(long remaining) {
		boolean lastAttempt = this.runs + 1 >= this.request.route().maxAttempts();
		if (!this.request.route().repeatable() || lastAttempt) {
			return new Attempt.Patience(remaining, 0);
		}
		long first = Math.min(remaining, this.timing.firstByteMillis(remaining));
		return new Attempt.Patience(first, this.timing.pauseMillis());
	}

	// Nothing is under way: either nothing was sent, or proof came that it did not run.
	private void giveUpUnsent(ProblemKind kind) {
		if (this.runs > 0 || this.exchange.begun()) {
			finish(Disclosure.UNKNOWN, ProblemKind.BACKEND_FAILED);
			return;
		}
		finish(Disclosure.NOT_RUN, kind);
	}

	@Override
	public void finish(Disclosure disclosure, ProblemKind kind) {
		AnswerBuffer answer = answer();
		if (kind == null) {
			this.suspicion.answered();
		}
		if (kind != null && !this.exchange.begun() && answer != null && answer.deliverable()) {
			close(Disclosure.ANSWERED, Integer.toString(answer.status()));
			answer.deliver(this.exchange);
			return;
		}
		close(disclosure, (kind != null) ? kind.code() : Integer.toString(answer.status()));
		if (kind == null) {
			deliver(answer);
		}
		else if (this.exchange.begun()) {
			this.exchange.abort();
		}
		else {
			OwnAnswers.problem(this.exchange, this.context.dialect(), this.request.id(), problemOf(disclosure, kind));
		}
	}

	private AnswerBuffer answer() {
		return (this.attempt != null) ? this.attempt.answer() : null;
	}

	private void deliver(AnswerBuffer answer) {
		if (this.exchange.begun()) {
			this.exchange.end();
		}
		else {
			answer.deliver(this.exchange);
		}
	}

	private Problem problemOf(Disclosure disclosure, ProblemKind kind) {
		String detail = (kind == ProblemKind.ENDS_SERVERS)
				? "several servers ended while they ran this request, digest " + this.suspicion.digest()
				: kind.remedy();
		Problem problem = new Problem(kind, detail, disclosure, 0);
		if (disclosure != Disclosure.NOT_RUN) {
			return problem;
		}
		ServiceOutage outage = this.context.backends().outage(this.request.service());
		long returnMillis = outage.millisToReturn(this.context.clock().nowMillis());
		if (returnMillis > 0) {
			return problem.retryAfter(this.timing.returnMillis(remainingMillis(), returnMillis, this.context.random()));
		}
		return problem.retryAfter(this.timing.retryAfterMillis(remainingMillis(), outage.total(), this.queueMillis,
				this.context.random()));
	}

	private void close(Disclosure disclosure, String outcome) {
		this.finished = true;
		waits(false);
		this.deadlineTimer.cancel(false);
		if (this.waitTimer != null) {
			this.waitTimer.cancel(false);
		}
		if (this.attempt != null) {
			this.attempt.abandon();
		}
		long tookMillis = this.context.clock().nowMillis() - this.request.arrivedMillis();
		this.context.meters().ended(this.request.service(), outcome, tookMillis);
		EventLog.log(Event.REQUEST_ENDED, "request", this.request.id(), "outcome", outcome, "ran",
				disclosure.headerValue(), "sends", this.sends, "events", this.position.events(), "firstMillis",
				this.times.firstMillis(), "pauseMillis", this.times.longestPauseMillis(), "tookMillis", tookMillis);
		this.whenEnded.run();
	}

	// ---- what happens

	@Override
	public void answerBegins(AnswerBuffer answer) {
		if (this.exchange.begun() && !(answer.stream() && answer.mediaType().equals(this.mediaType))) {
			this.attempt.giveUp("the stream was not continued");
			return;
		}
		if (!answer.stream()) {
			noteBegan();
		}
	}

	@Override
	public void eventsArrived(List<StreamEvent> events) {
		noteEvent();
		if (!this.exchange.begun()) {
			this.mediaType = answer().mediaType();
			this.exchange.begin(answer().status(), answer().headers());
		}
		for (StreamEvent event : events) {
			this.position.delivered(event);
		}
		this.exchange.write(joined(events));
		adjustReading();
	}

	private static byte[] joined(List<StreamEvent> events) {
		ByteArrayOutputStream joined = new ByteArrayOutputStream();
		for (StreamEvent event : events) {
			joined.writeBytes(event.bytes());
		}
		return joined.toByteArray();
	}

	private void noteBegan() {
		this.context.admission()
			.began(this.request.service(), this.context.clock().nowMillis() - this.attempt.sentMillis());
	}

	private void noteEvent() {
		long nowMillis = this.context.clock().nowMillis();
		long pauseMillis = this.times.event(nowMillis);
		if (pauseMillis == EventTimes.FIRST) {
			this.context.meters().firstByte(this.request.service(), this.times.firstMillis());
			noteBegan();
		}
		else {
			this.context.meters().pause(this.request.service(), pauseMillis);
		}
		notePauseOfServer(this.attempt.eventTimes().event(nowMillis), nowMillis);
	}

	private void notePauseOfServer(long pauseMillis, long nowMillis) {
		if (pauseMillis != EventTimes.FIRST) {
			this.attempt.backend()
				.paused(pauseMillis, this.request.route().pauseTargetMillis(), this.request.destination().engine(),
						nowMillis);
		}
	}

	@Override
	public void attemptEnded(AttemptEnd end) {
		if (!this.finished) {
			decide(trueEnd(end));
		}
	}

	// A stream that ends within an event is broken. A server's failure is no answer as
	// long as another server may do better, and none that promises what is not proved.
	private AttemptEnd trueEnd(AttemptEnd end) {
		if (end != AttemptEnd.ANSWERED) {
			return end;
		}
		AnswerBuffer answer = answer();
		if (answer.stream()) {
			boolean broken = answer.unfinished() || !this.exchange.begun();
			return broken ? AttemptEnd.BEGAN_THEN_BROKE : AttemptEnd.ANSWERED;
		}
		if (PROMISES.contains(answer.status())) {
			return AttemptEnd.BEGAN_THEN_BROKE;
		}
		answer.complete();
		boolean tryAgain = answer.status() >= SERVER_ERROR && this.request.route().repeatable();
		return tryAgain ? AttemptEnd.BEGAN_THEN_BROKE : AttemptEnd.ANSWERED;
	}

	// What reached no server is no load on any, so that another send is no retry.
	private boolean retryAllowed() {
		return this.arrivals == 0 || (this.context.budgets().allows(this.request.service()) && !this.suspicion.grave());
	}

	private void decide(AttemptEnd end) {
		if (!end.provesNotRun()) {
			this.runs++;
		}
		if (end.broke()) {
			this.suspicion.broke(this.attempt, this.context.clock().nowMillis() - this.attempt.sentMillis());
		}
		if (end == AttemptEnd.NOT_SENT) {
			this.arrivals--;
		}
		boolean serverLeft = this.sends < MAX_SENDS && this.context.backends().anyTakesNewWork(this.request.service());
		Situation situation = new Situation(end, this.request.route().repeatable(),
				this.request.route().resumable() && this.position.known(), this.position.bytes(), this.runs,
				this.request.route().maxAttempts(), remainingMillis() - LEAST_USEFUL_MILLIS, retryAllowed(), serverLeft,
				this.runs > (end.provesNotRun() ? 0 : 1), (end == AttemptEnd.REFUSED) ? ProblemKind.OVERLOADED : null);
		NextStep step = NextStepRules.decide(situation);
		if (end != AttemptEnd.ANSWERED) {
			noteStep(situation, step);
		}
		step.perform(this);
	}

	private void noteStep(Situation situation, NextStep step) {
		String name = step.getClass().getSimpleName();
		int heldBytes = (answer() != null) ? answer().heldBytes() : 0;
		this.context.meters().step(this.request.service(), name, heldBytes > 0);
		EventLog.log(Event.NEXT_STEP_DECIDED, "request", this.request.id(), "end", situation.end(), "step", name,
				"heldBytes", heldBytes, "deliveredBytes", this.position.bytes(), "begun", this.exchange.begun(), "runs",
				this.runs, "maxAttempts", situation.maxAttempts(), "sends", this.sends, "resumable",
				situation.resumable(), "budgetLeft", situation.retryBudgetLeft(), "serverLeft", situation.serverLeft(),
				"remainingMillis", situation.remainingMillis());
	}

	/**
	 * Ends the request, since its time is over or that of its gateway: with what is known
	 * to be true of it, or by breaking off an answer that has begun.
	 */
	void endNow() {
		if (this.finished) {
			return;
		}
		// A request that waits for a place has run only if an earlier attempt may have.
		boolean underWay = this.attempt != null && !this.attempt.over();
		if (!underWay && this.runs == 0) {
			finish(Disclosure.NOT_RUN, ProblemKind.DEADLINE_NOT_RUN);
			return;
		}
		finish(Disclosure.UNKNOWN, ProblemKind.DEADLINE);
	}

	/**
	 * Sets the deadline anew, since the clock went on while timers stood still.
	 */
	void timePassedUnseen() {
		if (!this.finished) {
			this.deadlineTimer.cancel(false);
			this.deadlineTimer = this.context.loop().later(this::endNow, remainingMillis());
		}
	}

	private void callerGone() {
		if (!this.finished) {
			close(Disclosure.UNKNOWN, "caller-gone");
		}
	}

	private void adjustReading() {
		if (!this.finished && this.attempt != null) {
			this.attempt.reading(this.exchange.writable());
		}
	}

}
