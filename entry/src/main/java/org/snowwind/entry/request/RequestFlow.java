package org.snowwind.entry.request;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.util.concurrent.Future;
import org.snowwind.decide.admission.RetryBudget;
import org.snowwind.decide.outcome.AttemptEnd;
import org.snowwind.decide.outcome.NextStep;
import org.snowwind.decide.outcome.NextStepRules;
import org.snowwind.decide.outcome.RetryContext;
import org.snowwind.decide.outcome.SilentAttempt;
import org.snowwind.entry.burn.BurnCounter;
import org.snowwind.entry.member.Server;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.Responses;
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
final class RequestFlow implements AttemptObserver, NextStep.Visitor {

	/**
	 * The longest line of a generated answer, in bytes. A line holds one token and is
	 * held until its end.
	 */
	private static final int MAX_LINE_BYTES = 64 * 1024;

	private static final int OK = 200;

	private static final int SERVER_ERROR = 500;

	private static final long RETRY_AFTER_MILLIS = 1000;

	private static final long RETRY_SPREAD_MILLIS = 2000;

	/** Kept back from the budget, so that a lost attempt can still be revoked in time. */
	private static final long REVOKE_RESERVE_MILLIS = 200;

	private static final int RESERVE_SHARE = 10;

	private final RequestContext context;

	private final CallerRequest request;

	private final HttpExchange exchange;

	private final EndListener whenEnded;

	private final Set<String> refusedBy = new HashSet<>();

	private final Set<String> tried = new HashSet<>();

	private final long startMillis;

	private long deadlineMillis;

	private Future<?> deadlineTimer;

	private Attempt attempt;

	/** The head of the present attempt's answer until it is sent. */
	private AnswerHead heldHead;

	/** Follows the present attempt's answer. */
	private AnswerTracker tracker;

	private int attemptsUsed;

	private long bytesDelivered;

	private long firstByteMillis;

	/** Whether an attempt may have run the work that nobody proved not to have. */
	private boolean mayHaveRun;

	private boolean revoking;

	private boolean finished;

	/**
	 * Creates the flow of a request.
	 * @param context what requests work with
	 * @param request the request
	 * @param exchange the way to answer
	 * @param arrivedMillis when the request arrived, from which its budget counts, in
	 * milliseconds
	 * @param whenEnded is told that it has ended
	 */
	RequestFlow(RequestContext context, CallerRequest request, HttpExchange exchange, long arrivedMillis,
			EndListener whenEnded) {
		this.context = context;
		this.request = request;
		this.exchange = exchange;
		this.whenEnded = whenEnded;
		this.startMillis = arrivedMillis;
		this.deadlineMillis = this.startMillis + lessReserveMillis(request.budgetMillis());
	}

	private static long lessReserveMillis(long millis) {
		return millis - Math.min(REVOKE_RESERVE_MILLIS, millis / RESERVE_SHARE);
	}

	void start() {
		this.exchange.onGone(this::callerGone);
		this.exchange.onWritableChange(this::adjustReading);
		this.deadlineTimer = this.context.loop().later(this::deadlinePassed, remainingMillis());
		if (remainingMillis() <= 0) {
			finish(Disclosure.NOT_RUN, ProblemKind.DEADLINE_NOT_RUN);
			return;
		}
		retryBudget().recordFirstAttempt();
		send();
	}

	/**
	 * Has the request end earlier than its budget says, as at its deadline: with a true
	 * word, or visibly broken off if its answer has begun.
	 * @param millis the time left, in milliseconds
	 */
	void endWithin(long millis) {
		long untilMillis = this.context.clock().nowMillis() + lessReserveMillis(millis);
		if (this.finished || untilMillis >= this.deadlineMillis) {
			return;
		}
		this.deadlineMillis = untilMillis;
		this.deadlineTimer.cancel(false);
		this.deadlineTimer = this.context.loop().later(this::deadlinePassed, remainingMillis());
	}

	private RetryBudget retryBudget() {
		return this.context.gates().retries(this.request.organisation());
	}

	private long remainingMillis() {
		return this.deadlineMillis - this.context.clock().nowMillis();
	}

	// ---- the steps

	@Override
	public void send() {
		sendAttempt(0);
	}

	@Override
	public void resume() {
		EventLog.log(Event.STREAM_RESUMED, "attempt", this.attempt.id(), "server", this.attempt.server().name());
		sendAttempt(this.tracker.resumeAt());
	}

	private void sendAttempt(int resumeAt) {
		Optional<Server> server = chooseServer();
		if (server.isEmpty()) {
			finishUnsent();
			return;
		}
		if (this.attemptsUsed > 0) {
			retryBudget().recordRetry();
		}
		endSequence();
		this.attemptsUsed++;
		this.heldHead = null;
		this.tracker = this.request.newTracker(resumeAt);
		this.tried.add(server.get().name());
		this.attempt = new Attempt(this.context, this.request, server.get(), this);
		this.attempt.send(remainingMillis(), headWithinMillis(), resumeAt);
	}

	// That no server is left says nothing of attempts before, which may have run.
	private void finishUnsent() {
		if (this.mayHaveRun) {
			finish(Disclosure.UNKNOWN, ProblemKind.BACKEND_FAILED);
		}
		else {
			finish(Disclosure.NOT_RUN, ProblemKind.NO_SERVER);
		}
	}

	// Lets the floor of outstanding attempts pass the last one. Not before its agent was
	// asked about it, for below the floor an agent no longer knows.
	private void endSequence() {
		if (this.attempt != null) {
			this.context.sequence().end(this.attempt.id());
		}
	}

	private Optional<Server> chooseServer() {
		Optional<Server> untried = choose(this.tried);
		if (untried.isPresent()) {
			return untried;
		}
		Set<String> allButLast = new HashSet<>(this.refusedBy);
		if (this.attempt != null) {
			allButLast.add(this.attempt.server().name());
		}
		Optional<Server> another = choose(allButLast);
		return another.isPresent() ? another : choose(this.refusedBy);
	}

	private Optional<Server> choose(Set<String> excluded) {
		return this.context.servers()
			.choose(this.request.target(), this.request.policy().choice(), this.request.affinityHash(), excluded);
	}

	private long headWithinMillis() {
		if (!this.request.repeatable()) {
			return remainingMillis();
		}
		int attemptsLeft = this.request.policy().maxAttempts() - this.attemptsUsed + 1;
		long shareMillis = remainingMillis() / Math.max(1, attemptsLeft);
		boolean callerWaitsMidStream = this.bytesDelivered > 0;
		return callerWaitsMidStream ? Math.min(shareMillis, this.context.streamStallMillis()) : shareMillis;
	}

	@Override
	public void revoke() {
		this.revoking = true;
		Attempt lost = this.attempt;
		this.context.revoker()
			.revoke(lost.server().spec().controlAddress(), lost.agentIncarnation(), lost.id(), (end) -> {
				this.revoking = false;
				if (!this.finished) {
					decide(end);
				}
			});
	}

	@Override
	public void finish(Disclosure disclosure, ProblemKind kind) {
		try {
			close(disclosure, kind);
			answer(disclosure, kind);
		}
		catch (RuntimeException | Error ex) {
			endAfterFault(ex);
		}
	}

	private void answer(Disclosure disclosure, ProblemKind kind) {
		if (kind == null) {
			beginAnswer();
			this.exchange.end();
			return;
		}
		if (disclosure == Disclosure.UNKNOWN) {
			EventLog.log(Event.OUTCOME_UNKNOWN, "attempt", this.attempt.id(), "server", this.attempt.server().name(),
					"organisation", this.request.organisation(), "target", this.request.target());
		}
		if (this.exchange.begun()) {
			this.exchange.abort();
			return;
		}
		Responses.problem(this.exchange, problemOf(disclosure, kind));
	}

	// The caller must learn that no more will come, also if there is no memory for the
	// log.
	private void endAfterFault(Throwable fault) {
		try {
			if (this.exchange.begun()) {
				this.exchange.abort();
			}
			else {
				Responses.problem(this.exchange, problemOf(Disclosure.UNKNOWN, ProblemKind.BACKEND_FAILED));
			}
		}
		catch (RuntimeException | Error ex) {
			this.exchange.abort();
		}
		logFault(fault);
	}

	private void logFault(Throwable fault) {
		EventLog.log(Event.INTERNAL_FAULT, fault, "where", "request", "organisation", this.request.organisation(),
				"target", this.request.target());
	}

	private Problem problemOf(Disclosure disclosure, ProblemKind kind) {
		Problem problem = new Problem(kind, detailOf(disclosure), disclosure, 0);
		if (disclosure != Disclosure.NOT_RUN) {
			return problem;
		}
		return problem.retryAfter(RETRY_AFTER_MILLIS + this.context.random().nextLong(RETRY_SPREAD_MILLIS));
	}

	private static String detailOf(Disclosure disclosure) {
		return switch (disclosure) {
			case ANSWERED -> "the request was answered";
			case NOT_RUN -> "the request did not run and will not";
			case FAILED -> "the request ran and failed";
			case UNKNOWN -> "the request may have run; nobody can tell";
		};
	}

	private void close(Disclosure disclosure, ProblemKind kind) {
		this.finished = true;
		this.deadlineTimer.cancel(false);
		try {
			if (this.attempt != null) {
				this.attempt.abandon();
			}
			endSequence();
		}
		finally {
			this.whenEnded.ended(disclosure);
		}
		recordEnd(disclosure, kind);
	}

	// The outcome does not depend on whether it can be recorded.
	private void recordEnd(Disclosure disclosure, ProblemKind kind) {
		try {
			this.context.meters().ended(this.request, disclosure, kind);
			long tookMillis = this.context.clock().nowMillis() - this.startMillis;
			this.context.burn()
				.ended(this.request.organisation(), this.request.target(), this.request.serviceLevel(),
						new BurnCounter.Fared(disclosure, kind, this.firstByteMillis, tookMillis));
		}
		catch (RuntimeException | Error ex) {
			logFault(ex);
		}
	}

	// ---- what happens

	@Override
	public void answerBegins(int status, Map<String, String> headers) {
		boolean engineFailed = this.request.engine() && status >= SERVER_ERROR;
		boolean cannotContinue = this.exchange.begun() && status != OK;
		if (engineFailed || cannotContinue) {
			this.attempt.fail("status " + status);
			return;
		}
		if (this.exchange.begun()) {
			return;
		}
		if (status != OK) {
			this.tracker = new PlainAnswer();
		}
		this.heldHead = new AnswerHead(status, headers);
	}

	private void beginAnswer() {
		if (this.exchange.begun()) {
			return;
		}
		this.firstByteMillis = this.context.clock().nowMillis() - this.startMillis;
		this.context.meters().firstByte(this.request, this.firstByteMillis);
		this.heldHead.begin(this.exchange, this.tracker.resumable());
	}

	@Override
	public void answerBytes(byte[] bytes) {
		byte[] deliverable = this.tracker.take(bytes);
		if (deliverable.length > 0) {
			this.bytesDelivered += deliverable.length;
			beginAnswer();
			this.exchange.write(deliverable);
			adjustReading();
		}
		if (this.tracker.tornBytes() > MAX_LINE_BYTES) {
			this.attempt.fail("expected a line of at most " + MAX_LINE_BYTES + " bytes, got " + this.tracker.tornBytes()
					+ " without its end");
		}
	}

	@Override
	public void attemptEnded(AttemptEnd end) {
		if (!this.finished) {
			decide(trueEnd(end));
		}
	}

	// An answer that says it is done is whole; one that does not is not.
	private AttemptEnd trueEnd(AttemptEnd end) {
		if (end == AttemptEnd.BEGAN_THEN_BROKE && this.tracker.complete()) {
			return AttemptEnd.ANSWERED;
		}
		if (end == AttemptEnd.ANSWERED && !this.tracker.wholeAtEnd()) {
			return AttemptEnd.BEGAN_THEN_BROKE;
		}
		return end;
	}

	@Override
	public boolean isReplaceable(AttemptEnd end) {
		return SilentAttempt.isReplaceable(situation(trueEnd(end)), otherServerIsHealthy());
	}

	private boolean otherServerIsHealthy() {
		long nowMillis = this.context.clock().nowMillis();
		return chooseServer()
			.filter((server) -> !server.name().equals(this.attempt.server().name()) && server.healthy(nowMillis))
			.isPresent();
	}

	private RetryContext situation(AttemptEnd end) {
		boolean serverLeft = this.context.servers().anyLeft(this.request.target(), this.refusedBy);
		return new RetryContext(end, this.request.repeatable(), this.tracker.resumable(), this.bytesDelivered,
				this.attemptsUsed, this.request.policy().maxAttempts(), remainingMillis(), retryBudget().allows(),
				serverLeft, this.mayHaveRun, this.attempt.refusal());
	}

	private void decide(AttemptEnd end) {
		if (end == AttemptEnd.REFUSED) {
			this.refusedBy.add(this.attempt.server().name());
		}
		NextStep next = NextStepRules.decide(situation(end));
		logDecision(end, next);
		// Whoever is asked about a lost attempt may still prove that it did not run.
		this.mayHaveRun |= end.mayHaveRunUnanswered() && next != NextStep.REVOKE;
		next.accept(this);
	}

	private void logDecision(AttemptEnd end, NextStep next) {
		if (end == AttemptEnd.ANSWERED) {
			return;
		}
		EventLog.log(Event.ATTEMPT_ENDED, "attempt", this.attempt.id(), "server", this.attempt.server().name(), "end",
				end, "cause", this.attempt.cause(), "headArrived", this.attempt.headArrived(), "deliveredBytes",
				this.bytesDelivered, "tornBytes", this.tracker.tornBytes(), "remainingMillis", remainingMillis(),
				"next", next.getClass().getSimpleName());
	}

	private void deadlinePassed() {
		if (this.finished || this.revoking || this.attempt == null) {
			return;
		}
		boolean began = this.attempt.headArrived();
		this.attempt.abandon();
		decide(began ? AttemptEnd.BEGAN_THEN_BROKE : AttemptEnd.SENT_THEN_LOST);
	}

	private void callerGone() {
		if (!this.finished) {
			close(Disclosure.UNKNOWN, null);
		}
	}

	private void adjustReading() {
		if (!this.finished && this.attempt != null) {
			this.attempt.reading(this.exchange.writable());
		}
	}

	/**
	 * Is told that a request has ended.
	 */
	@FunctionalInterface
	interface EndListener {

		/**
		 * The request has ended.
		 * @param disclosure what its caller is told
		 */
		void ended(Disclosure disclosure);

	}

}
