package org.snowwind.gateway.request;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Set;

import io.netty.util.concurrent.Future;
import org.snowwind.decide.choice.MemoryNeed;
import org.snowwind.decide.outcome.AttemptEnd;
import org.snowwind.decide.outcome.NextStep;
import org.snowwind.decide.outcome.NextStepRules;
import org.snowwind.decide.outcome.RetryContext;
import org.snowwind.gateway.backend.Admission;
import org.snowwind.gateway.backend.Arrival;
import org.snowwind.gateway.backend.Backend;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Relays one request to backend servers and its response to the caller, over one or more
 * attempts. Confined to the event loop.
 *
 * <p>
 * {@link NextStepRules} decides the next step after each attempt; this class only carries
 * it out.
 */
final class Relay implements AttemptListener, NextStep.Visitor, ServerWait.Listener {

	private static final int SERVER_ERROR = 500;

	/**
	 * Statuses that promise that a request has not run. Only proof allows them, so a
	 * server's response with one of them is not passed on.
	 */
	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

	/** How long before its timeout a request is ended, in milliseconds. */
	private static final long ANSWER_MARGIN_MILLIS = 25;

	/** With less time left than this, in milliseconds, no attempt is sent. */
	private static final long MIN_REMAINING_MILLIS = 30;

	private final RequestContext context;

	private final CallerRequest request;

	private final HttpExchange exchange;

	private final Runnable onEnded;

	private final long deadlineMillis;

	/** When the request arrived or, for a continued stream, when it broke. */
	private long needsServerSinceMillis;

	private final StreamPosition position;

	private final MemoryNeed memory;

	/** The media type of the stream; {@code null} before the stream starts. */
	private String mediaType;

	private Future<?> deadlineTimer;

	private final RequestAttempts attempts;

	/**
	 * The attempt that has ended last, whose response may be sent to the caller if no
	 * other attempt answers; {@code null} before an attempt has ended.
	 */
	private Attempt ended;

	private final EventTimes eventTimes;

	private final RequestSuspicion suspicion;

	private final RequestProblems problems;

	private boolean finished;

	/**
	 * The queueing delay until the request could be sent to a rate-limited server, in
	 * milliseconds.
	 */
	private long queueMillis;

	private final ServerWait serverWait;

	/**
	 * Creates the relay of a request.
	 * @param context the components that requests share
	 * @param request the request
	 * @param exchange the exchange to respond to
	 * @param onEnded called when the request has ended
	 */
	Relay(RequestContext context, CallerRequest request, HttpExchange exchange, Runnable onEnded) {
		this.context = context;
		this.request = request;
		this.exchange = exchange;
		this.onEnded = onEnded;
		this.needsServerSinceMillis = request.arrivedMillis();
		this.deadlineMillis = request.arrivedMillis() + request.metadata().allowedMillis(request.route())
				- ANSWER_MARGIN_MILLIS;
		this.eventTimes = new EventTimes(request.arrivedMillis());
		this.suspicion = new RequestSuspicion(context.suspects(), request);
		this.problems = new RequestProblems(context, request, this.suspicion);
		this.memory = context.sizes()
			.recordArrival(request.service(), request.destination().engine(), request.metadata().promptTokens(),
					request.metadata().maxOutputTokens());
		this.serverWait = new ServerWait(context, request, this::arrival, this);
		this.position = new StreamPosition(request.metadata().lastEventId());
		this.attempts = new RequestAttempts(context, request, this.memory, this.position, this.suspicion, this);
	}

	void start() {
		this.exchange.onGone(this::onCallerGone);
		this.exchange.onWritableChange(this::adjustReading);
		this.deadlineTimer = this.context.loop().later(this::endNow, remainingMillis());
		this.context.budgets().recordRequest(this.request.service());
		this.context.backends().limits().onRequestArrival(this.request.service());
		this.serverWait.recordArrival();
		dispatch();
	}

	private long remainingMillis() {
		return this.deadlineMillis - this.context.clock().nowMillis();
	}

	// ---- next steps

	@Override
	public void send() {
		dispatch();
	}

	@Override
	public void resume() {
		this.needsServerSinceMillis = this.context.clock().nowMillis();
		EventLog.log(Event.STREAM_RESUMED, "request", this.request.id(), "after", this.position.lastId());
		dispatch();
	}

	@Override
	public void revoke() {
		throw new IllegalStateException("an attempt cannot be revoked after it was sent directly to a server");
	}

	private void dispatch() {
		if (!endIfNotSendable()) {
			this.serverWait.seek();
		}
	}

	private boolean endIfNotSendable() {
		if (this.finished) {
			return true;
		}
		// A blamed request is rejected for every caller and every server: each server
		// that it crashes is lost to all callers.
		if (this.suspicion.isBlamed()) {
			logBlamed();
			finish(Disclosure.FAILED, ProblemKind.ENDS_SERVERS);
			return true;
		}
		if (remainingMillis() < MIN_REMAINING_MILLIS) {
			finishUnsent(ProblemKind.DEADLINE_NOT_RUN);
			return true;
		}
		if (this.memory.exceedsServer()) {
			EventLog.log(Event.REQUEST_OVER_MEMORY, "request", this.request.id(), "tokens", this.memory.tokens(),
					"memoryTokens", this.memory.memoryTokens());
			finishUnsent(ProblemKind.TOO_MANY_TOKENS);
			return true;
		}
		return false;
	}

	@Override
	public void onPoll() {
		dispatch();
	}

	@Override
	public void onServer(Backend backend) {
		if (!endIfNotSendable()) {
			sendTo(backend);
		}
	}

	@Override
	public void onRejected(Admission.Verdict.Reject reject) {
		logRejection(reject);
		this.queueMillis = reject.queueMillis();
		finishUnsent(ProblemKind.OVERLOADED);
	}

	@Override
	public void onFault(Throwable fault) {
		if (this.finished) {
			logFault(fault);
		}
		else {
			endAfterFault(fault);
		}
	}

	private void logBlamed() {
		String part = this.suspicion.blamedPart();
		EventLog.log(Event.BLAMED_REQUEST_REFUSED, "request", this.request.id(), (part != null) ? "part" : "digest",
				(part != null) ? part : this.suspicion.digest(), "organisation", this.request.organisation(), "sends",
				this.attempts.sends());
	}

	private void logRejection(Admission.Verdict.Reject reject) {
		EventLog.log(Event.REQUEST_TURNED_AWAY, "request", this.request.id(), "closed", reject.closed(), "startMillis",
				reject.startMillis(), "queueMillis", reject.queueMillis(), "returnMillis", reject.returnMillis(),
				"waitedMillis", this.context.clock().nowMillis() - this.needsServerSinceMillis, "targetMillis",
				this.request.route().targetMillis(), "sends", this.attempts.sends(), "registry",
				this.context.backends().revision());
	}

	private Arrival arrival() {
		return new Arrival(this.request.service(), this.attempts.triedServers(),
				Timing.of(this.request.route()).maxWaitingAtServer(), this.request.destination().engine(),
				this.request.route().targetMillis(), this.request.route().pauseTargetMillis(),
				this.needsServerSinceMillis, this.serverWait.isWaiting(), this.memory);
	}

	// The error of the last attempt is still passed on if nothing is sent.
	private void sendTo(Backend backend) {
		Attempt before = this.ended;
		if (!this.attempts.send(backend, remainingMillis())) {
			finishUnsent(ProblemKind.OVERLOADED);
		}
		else if (before != null) {
			before.release();
		}
	}

	// No attempt is in flight. The request is reported as not run only if no attempt was
	// made without proof that it did not run.
	private void finishUnsent(ProblemKind kind) {
		if (this.attempts.mayHaveRun() || this.exchange.begun()) {
			finish(Disclosure.UNKNOWN, ProblemKind.BACKEND_FAILED);
			return;
		}
		finish(Disclosure.NOT_RUN, kind);
	}

	@Override
	public void finish(Disclosure disclosure, ProblemKind kind) {
		ResponseBuffer response = response();
		if (kind == null) {
			this.suspicion.recordAnswered(response.status() == ResponseBuffer.OK, this.ended);
		}
		boolean deliverable = kind != null && !this.exchange.begun() && response != null && response.isDeliverable();
		try {
			if (deliverable) {
				close(Disclosure.ANSWERED, Integer.toString(response.status()));
			}
			else {
				close(disclosure, (kind != null) ? kind.code() : Integer.toString(response.status()));
			}
			if (deliverable || kind == null) {
				deliver(response);
			}
			else {
				sendProblem(disclosure, kind);
			}
		}
		catch (RuntimeException | Error ex) {
			endAfterFault(ex);
		}
		releaseEnded();
	}

	// The caller must learn that no more will come, also if there is no memory for the
	// log.
	private void endAfterFault(Throwable fault) {
		this.finished = true;
		this.onEnded.run();
		try {
			sendProblem(Disclosure.UNKNOWN, ProblemKind.BACKEND_FAILED);
		}
		catch (RuntimeException | Error ex) {
			this.exchange.abort();
		}
		this.deadlineTimer.cancel(false);
		this.serverWait.cancel();
		this.attempts.abandonAll();
		releaseEnded();
		logFault(fault);
	}

	private void logFault(Throwable fault) {
		EventLog.log(Event.INTERNAL_FAULT, fault, "where", "answer", "request", this.request.id());
	}

	private void sendProblem(Disclosure disclosure, ProblemKind kind) {
		if (this.exchange.begun()) {
			this.exchange.abort();
		}
		else {
			ErrorResponses.send(this.exchange, this.context.dialect(), this.request.id(),
					this.problems.describe(disclosure, kind, remainingMillis(), this.queueMillis));
		}
	}

	private void releaseEnded() {
		if (this.ended != null) {
			this.ended.release();
		}
	}

	private ResponseBuffer response() {
		return (this.ended != null) ? this.ended.response() : null;
	}

	private void deliver(ResponseBuffer response) {
		if (this.exchange.begun()) {
			this.exchange.end();
		}
		else {
			response.deliver(this.exchange, this.context.answerMemory(), this::resetSlowCaller);
		}
	}

	private void resetSlowCaller(String reason) {
		EventLog.log(Event.ANSWER_TAKEN_SLOWLY, "request", this.request.id(), "reason", reason, "sumBytes",
				this.context.answerMemory().sumBytes());
		this.exchange.reset();
	}

	private void close(Disclosure disclosure, String outcome) {
		this.finished = true;
		this.serverWait.cancel();
		this.deadlineTimer.cancel(false);
		this.attempts.abandonAll();
		long tookMillis = this.context.clock().nowMillis() - this.request.arrivedMillis();
		this.context.meters().recordRequest(this.request.service(), outcome, tookMillis);
		EventLog.log(Event.REQUEST_ENDED, "request", this.request.id(), "outcome", outcome, "ran",
				disclosure.headerValue(), "sends", this.attempts.sends(), "events", this.position.events(),
				"firstMillis", this.eventTimes.firstMillis(), "pauseMillis", this.eventTimes.longestPauseMillis(),
				"tookMillis", tookMillis);
		this.onEnded.run();
	}

	// ---- events

	@Override
	public void onResponseStart(Attempt attempt, ResponseBuffer response) {
		if (this.exchange.begun() && !(response.isStream() && response.mediaType().equals(this.mediaType))) {
			attempt.abort("the response does not continue the stream");
			return;
		}
		if (!response.isStream()) {
			recordResponseStart(attempt);
		}
	}

	@Override
	public void onEvents(Attempt attempt, List<StreamEvent> events) {
		// A comment does not show that the server can go on with the stream.
		if (this.attempts.anyOpenBeside(attempt) && events.stream().noneMatch(StreamEvent::answers)) {
			return;
		}
		this.attempts.keepOnly(attempt);
		recordEvents(attempt);
		if (!this.exchange.begun()) {
			ResponseBuffer response = attempt.response();
			this.mediaType = response.mediaType();
			this.exchange.begin(response.status(), response.headers());
		}
		for (StreamEvent event : events) {
			this.position.recordDelivered(event);
		}
		this.exchange.write(joined(events));
		adjustReading();
	}

	@Override
	public void onSilent(Attempt attempt) {
		if (this.finished) {
			return;
		}
		try {
			this.attempts.replaceIfPossible(attempt, () -> this.context.admission().chooseReplacement(arrival()),
					remainingMillis() - MIN_REMAINING_MILLIS);
		}
		catch (RuntimeException | Error ex) {
			// The attempt may still answer.
			logFault(ex);
		}
	}

	private static byte[] joined(List<StreamEvent> events) {
		ByteArrayOutputStream joined = new ByteArrayOutputStream();
		for (StreamEvent event : events) {
			joined.writeBytes(event.bytes());
		}
		return joined.toByteArray();
	}

	private void recordResponseStart(Attempt attempt) {
		this.context.admission()
			.onAnswerStart(this.request.service(), this.context.clock().nowMillis() - attempt.sentMillis());
	}

	private void recordEvents(Attempt attempt) {
		long nowMillis = this.context.clock().nowMillis();
		long pauseMillis = this.eventTimes.recordEvent(nowMillis);
		if (pauseMillis == EventTimes.FIRST_EVENT) {
			this.context.meters().recordFirstByte(this.request.service(), this.eventTimes.firstMillis());
			recordResponseStart(attempt);
		}
		else {
			this.context.meters().recordPause(this.request.service(), pauseMillis);
		}
		long serverPauseMillis = attempt.eventTimes().recordEvent(nowMillis);
		if (serverPauseMillis != EventTimes.FIRST_EVENT) {
			attempt.backend()
				.onPause(serverPauseMillis, this.request.route().pauseTargetMillis(),
						this.request.destination().engine(), nowMillis);
		}
	}

	@Override
	public void onAttemptEnd(Attempt attempt, AttemptEnd end) {
		if (this.finished) {
			return;
		}
		try {
			AttemptEnd effectiveEnd = effectiveEnd(attempt, end);
			this.attempts.recordEnd(attempt, effectiveEnd);
			releaseEnded();
			this.ended = attempt;
			if (effectiveEnd == AttemptEnd.ANSWERED) {
				this.attempts.keepOnly(attempt);
			}
			else if (this.attempts.anyOpen()) {
				return;
			}
			decide(effectiveEnd);
		}
		catch (RuntimeException | Error ex) {
			onFault(ex);
		}
	}

	// A stream that ends within an event is broken, and so is one that ends without an
	// event while another attempt of the request may still go on. A server error does not
	// count as the response while another server may still succeed, and neither does a
	// status that promises without proof that the request has not run.
	private AttemptEnd effectiveEnd(Attempt attempt, AttemptEnd end) {
		if (end != AttemptEnd.ANSWERED) {
			return end;
		}
		ResponseBuffer response = attempt.response();
		if (response.isStream()) {
			boolean endsInPlaceOfAnother = !attempt.eventTimes().started() && this.attempts.anyOpenBeside(attempt);
			boolean broken = response.isIncomplete() || !this.exchange.begun() || endsInPlaceOfAnother;
			return broken ? AttemptEnd.BEGAN_THEN_BROKE : AttemptEnd.ANSWERED;
		}
		if (NOT_RUN_STATUSES.contains(response.status())) {
			return AttemptEnd.BEGAN_THEN_BROKE;
		}
		response.markComplete();
		boolean retry = response.status() >= SERVER_ERROR && this.request.route().repeatable();
		return retry ? AttemptEnd.BEGAN_THEN_BROKE : AttemptEnd.ANSWERED;
	}

	private void decide(AttemptEnd end) {
		RetryContext situation = this.attempts.stateAfter(end, remainingMillis() - MIN_REMAINING_MILLIS);
		NextStep step = NextStepRules.decide(situation);
		if (end != AttemptEnd.ANSWERED) {
			recordStep(situation, step);
		}
		step.accept(this);
	}

	private void recordStep(RetryContext situation, NextStep step) {
		String name = step.getClass().getSimpleName();
		int heldBytes = (response() != null && response().isStream()) ? response().heldBytes() : 0;
		this.context.meters().countStep(this.request.service(), name, heldBytes > 0);
		EventLog.log(Event.NEXT_STEP_DECIDED, "request", this.request.id(), "end", situation.end(), "step", name,
				"heldBytes", heldBytes, "deliveredBytes", this.position.bytes(), "begun", this.exchange.begun(), "runs",
				situation.attemptsUsed(), "maxAttempts", situation.maxAttempts(), "sends", this.attempts.sends(),
				"resumable", situation.resumable(), "budgetLeft", situation.retryBudgetLeft(), "serverLeft",
				situation.serverLeft(), "remainingMillis", situation.remainingMillis());
	}

	/**
	 * Ends the request because its deadline has passed or the gateway stops. The caller
	 * gets an error response that states whether the request may have run; a response
	 * that has started is aborted.
	 */
	void endNow() {
		if (this.finished) {
			return;
		}
		if (!this.attempts.mayHaveRun()) {
			finish(Disclosure.NOT_RUN, ProblemKind.DEADLINE_NOT_RUN);
			return;
		}
		finish(Disclosure.UNKNOWN, ProblemKind.DEADLINE);
	}

	/**
	 * Resets the deadline timer after the clock advanced while timers did not run.
	 */
	void resetDeadline() {
		if (!this.finished) {
			this.deadlineTimer.cancel(false);
			this.deadlineTimer = this.context.loop().later(this::endNow, remainingMillis());
		}
	}

	private void onCallerGone() {
		if (!this.finished) {
			close(Disclosure.UNKNOWN, "caller-gone");
			releaseEnded();
		}
	}

	private void adjustReading() {
		if (!this.finished) {
			this.attempts.setReading(this.exchange.writable());
		}
	}

}
