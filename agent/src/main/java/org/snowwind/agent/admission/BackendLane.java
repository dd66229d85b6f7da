package org.snowwind.agent.admission;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import org.snowwind.agent.backend.BackendProtocol;
import org.snowwind.decide.admission.ConcurrencyLimit;
import org.snowwind.decide.admission.FairQueue;
import org.snowwind.decide.admission.QueueDelayEstimator;
import org.snowwind.decide.admission.SlotReservations;
import org.snowwind.decide.ledger.AttemptLedger;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;

/**
 * The work before one back end: a fair queue, a limit, and what runs. Confined to the
 * loop.
 */
public final class BackendLane {

	private static final double QUANTUM_COST = 32;

	private static final double TOLERATED_MULTIPLE = 4;

	/** Waits are taken for so much longer than estimated. */
	private static final double SAFETY = 2.6;

	private static final double PEAK_HALF_LIFE_MILLIS = 30_000;

	private static final long BUSY_RETRY_MILLIS = 1000;

	private final BackendProtocol protocol;

	private final UpstreamClient client;

	private final MonotonicClock clock;

	private final AttemptLedger ledger;

	private final FairQueue<Work> queue;

	private final ConcurrencyLimit limit;

	private final SlotReservations shares;

	private final QueueDelayEstimator estimate = new QueueDelayEstimator();

	private final Set<RunningWork> running = new HashSet<>();

	/**
	 * Creates a lane without work.
	 * @param protocol how work is put to the back end
	 * @param settings its bounds
	 * @param client carries the calls
	 * @param clock tells the time
	 * @param ledger says what may begin
	 * @param weights the weight of an organisation by its name
	 */
	public BackendLane(BackendProtocol protocol, LaneSettings settings, UpstreamClient client, MonotonicClock clock,
			AttemptLedger ledger, ToDoubleFunction<String> weights) {
		this.protocol = protocol;
		this.client = client;
		this.clock = clock;
		this.ledger = ledger;
		this.shares = new SlotReservations(weights, PEAK_HALF_LIFE_MILLIS);
		this.queue = new FairQueue<>(QUANTUM_COST, settings.maxWaitingPerOrganisation(), weights);
		this.limit = new ConcurrencyLimit(settings.startConcurrency(), Math.max(1, settings.startConcurrency() / 2),
				settings.maxConcurrency(), TOLERATED_MULTIPLE);
	}

	/**
	 * Takes work in, or refuses it at once.
	 * @param work the work
	 */
	public void offer(Work work) {
		long waitMillis = waitMillis(work.organisation());
		if (waitMillis > 0 && tooLate(work, waitMillis)) {
			Refusals.tell(work.exchange(),
					Problem.notRun(ProblemKind.OVERLOADED, "it could not end within its time here")
						.retryAfter(waitMillis));
			return;
		}
		if (!this.queue.offer(work.organisation(), work, work.cost(), work.beginByMillis())) {
			Refusals.tell(work.exchange(),
					Problem.notRun(ProblemKind.OVERLOADED, "the organisation's queue is full here")
						.retryAfter(BUSY_RETRY_MILLIS));
			return;
		}
		this.shares.arrived(work.organisation(), this.clock.nowMillis());
		work.exchange().onGone(() -> withdraw(work));
		pump();
	}

	private long waitMillis(String organisation) {
		int waiting = this.queue.waiting(organisation);
		boolean full = this.running.size() >= this.limit.current();
		if (waiting == 0 && !full) {
			return 0;
		}
		double places = this.shares.slots(organisation, this.limit.current(), this.clock.nowMillis());
		return this.estimate.delayMillis(waiting, places);
	}

	private void withdraw(Work work) {
		if (this.queue.remove(work.organisation(), work)) {
			this.shares.abandoned(work.organisation());
		}
	}

	private boolean tooLate(Work work, long waitMillis) {
		long beginMillis = this.clock.nowMillis() + Math.round(waitMillis * SAFETY);
		return beginMillis > work.beginByMillis()
				|| beginMillis + this.estimate.serviceMillis() > work.deadlineMillis();
	}

	/**
	 * Refuses work whose time is up and begins what may begin.
	 */
	public void pump() {
		long nowMillis = this.clock.nowMillis();
		this.queue.expire(nowMillis).forEach(this::refuseLate);
		while (this.running.size() < this.limit.current()) {
			Optional<Work> next = this.queue
				.poll((organisation) -> this.shares.mayBegin(organisation, this.limit.current(), nowMillis));
			if (next.isEmpty()) {
				return;
			}
			begin(next.get());
		}
	}

	/**
	 * Refuses all work that has not begun.
	 * @param problem why
	 */
	public void refuseWaiting(Problem problem) {
		Optional<Work> next = this.queue.poll();
		while (next.isPresent()) {
			this.shares.abandoned(next.get().organisation());
			Refusals.tell(next.get().exchange(), problem);
			next = this.queue.poll();
		}
	}

	/**
	 * Cuts off what still runs, visibly to its callers.
	 * @return how much was cut off
	 */
	public int cutOff() {
		int count = this.running.size();
		Set.copyOf(this.running).forEach(RunningWork::cutOff);
		return count;
	}

	/**
	 * Forgets organisations that have long been away.
	 */
	public void forgetIdle() {
		this.shares.removeIdle(this.clock.nowMillis());
	}

	/**
	 * Counts what runs.
	 * @return a number of attempts
	 */
	public int runningCount() {
		return this.running.size();
	}

	/**
	 * Counts what waits.
	 * @return a number of attempts
	 */
	public int waitingCount() {
		return this.queue.size();
	}

	/**
	 * Returns how many attempts may run at once now.
	 * @return the limit
	 */
	public int currentLimit() {
		return this.limit.current();
	}

	private void refuseLate(Work work) {
		this.shares.abandoned(work.organisation());
		Refusals.tell(work.exchange(),
				Problem.notRun(ProblemKind.DEADLINE_NOT_RUN, "its time ran out while it waited"));
	}

	private void begin(Work work) {
		AttemptLedger.BeginVerdict verdict = this.ledger.begin(work.id());
		if (verdict != AttemptLedger.BeginVerdict.MAY_BEGIN) {
			this.shares.abandoned(work.organisation());
		}
		switch (verdict) {
			case MAY_BEGIN -> run(work);
			case REVOKED -> Refusals.tell(work.exchange(),
					Problem.notRun(ProblemKind.WRONG_INCARNATION, "the attempt was revoked"));
			case UNKNOWN_ENTRY -> Refusals.tell(work.exchange(),
					Problem.notRun(ProblemKind.WRONG_INCARNATION, "the entry has sent no heartbeat yet"));
			case FULL -> Refusals.tell(work.exchange(),
					Problem.notRun(ProblemKind.OVERLOADED, "too many attempts of one entry are outstanding")
						.retryAfter(BUSY_RETRY_MILLIS));
			case DUPLICATE -> work.exchange().abort();
		}
	}

	private void run(Work work) {
		RunningWork started = new RunningWork(work, this, this.clock.nowMillis(), this.running.size());
		this.running.add(started);
		this.shares.began(work.organisation());
		started.sentAs(this.client.send(this.protocol.requestFor(work.call()), started));
	}

	void sample(RunningWork work, long delayMillis) {
		this.limit.sample((double) delayMillis, work.runningThen());
	}

	void neverReachedBackend(Work work) {
		this.ledger.recordNeverReachedBackend(work.id());
	}

	void answered(RunningWork work) {
		this.estimate.ended(this.clock.nowMillis() - work.startMillis());
	}

	void ended(RunningWork work) {
		if (this.running.remove(work)) {
			this.shares.ended(work.organisation());
			pump();
		}
	}

	MonotonicClock clock() {
		return this.clock;
	}

	/**
	 * Bounds of a lane.
	 *
	 * @param startConcurrency how many attempts run at once at first
	 * @param maxConcurrency how many may ever run at once
	 * @param maxWaitingPerOrganisation how many of one organisation may wait
	 */
	public record LaneSettings(int startConcurrency, int maxConcurrency, int maxWaitingPerOrganisation) {

	}

}
