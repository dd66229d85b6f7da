package org.snowwind.gateway.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.snowwind.decide.choice.MemoryNeed;
import org.snowwind.decide.outcome.AttemptEnd;
import org.snowwind.decide.outcome.RetryContext;
import org.snowwind.decide.silence.SilenceDecision;
import org.snowwind.decide.silence.SilenceRules;
import org.snowwind.decide.silence.SilentRequest;
import org.snowwind.gateway.backend.Backend;
import org.snowwind.gateway.backend.GroupLoad;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.model.outcome.ProblemKind;

/**
 * The attempts of one request, and what they have used of its limits. Confined to the
 * event loop.
 *
 * <p>
 * More than one attempt is open only while all but the newest are silent. The first one
 * that answers is kept and ends the others, so a silent attempt is not lost before
 * another one has answered in its place.
 */
final class RequestAttempts {

	/**
	 * The maximum number of sends of a request, including those that a server rejected or
	 * that did not reach a server.
	 */
	private static final int MAX_SENDS = 5;

	private static final String NO_SERVER = "NoHeardServerHasRoom";

	private static final String NO_TRIAL = "SuspectedPartIsHeldBack";

	private final RequestContext context;

	private final CallerRequest request;

	private final MemoryNeed memory;

	private final StreamPosition position;

	private final RequestSuspicion suspicion;

	private final AttemptListener listener;

	private final Timing timing;

	private final Set<String> triedServers = new HashSet<>();

	private final List<Attempt> open = new ArrayList<>(1);

	private int sends;

	/** The number of sends that may have reached a server. */
	private int possibleArrivals;

	/** The number of sends without proof that the request did not run. */
	private int possibleRuns;

	/** The decision that was logged last; {@code null} before the first one. */
	private SilenceDecision loggedDecision;

	/**
	 * Creates the attempts of a request that was not sent yet.
	 * @param context the components that requests share
	 * @param request the request
	 * @param memory the memory that the request needs at a server
	 * @param position the caller's position in its stream
	 * @param suspicion whether the request is suspected of crashing servers
	 * @param listener notified of the progress of each attempt
	 */
	RequestAttempts(RequestContext context, CallerRequest request, MemoryNeed memory, StreamPosition position,
			RequestSuspicion suspicion, AttemptListener listener) {
		this.context = context;
		this.request = request;
		this.memory = memory;
		this.position = position;
		this.suspicion = suspicion;
		this.listener = listener;
		this.timing = Timing.of(request.route());
	}

	Set<String> triedServers() {
		return this.triedServers;
	}

	int sends() {
		return this.sends;
	}

	/**
	 * Returns whether an attempt may have run the request.
	 * @return false if it is proved for every attempt that the request did not run
	 */
	boolean mayHaveRun() {
		return this.possibleRuns > 0;
	}

	boolean anyOpen() {
		return !this.open.isEmpty();
	}

	/**
	 * Returns whether another attempt is open.
	 * @param attempt the attempt that is not counted
	 * @return true if at least one other attempt may still answer
	 */
	boolean anyOpenBeside(Attempt attempt) {
		return this.open.stream().anyMatch((other) -> other != attempt);
	}

	/**
	 * Sends the request to a server.
	 * @param backend the server
	 * @param remainingMillis the time until the request's deadline, in milliseconds
	 * @return whether it was sent; false if the retry budget is spent or only few
	 * requests with a part of its prompt may be sent
	 */
	boolean send(Backend backend, long remainingMillis) {
		// The retry budget may have been spent while the request waited.
		if (!retryAllowed() || !this.suspicion.acquireTrial()) {
			return false;
		}
		if (this.possibleArrivals > 0) {
			this.context.budgets().recordRetry(this.request.service());
		}
		this.sends++;
		this.possibleArrivals++;
		this.suspicion.recordSend();
		this.triedServers.add(backend.id());
		logSend(backend, remainingMillis);
		Attempt attempt = new Attempt(this.context, this.request, backend, this.memory.tokens(), this.position,
				this.listener);
		this.open.add(attempt);
		Attempt.SilenceLimits limits = silenceLimits(remainingMillis);
		this.possibleRuns++;
		try {
			attempt.send(remainingMillis, limits);
		}
		catch (RuntimeException | Error ex) {
			// An attempt that is never answered must not be awaited.
			this.open.remove(attempt);
			attempt.abandon("not sent for an error in this process");
			throw ex;
		}
		return true;
	}

	private void logSend(Backend backend, long remainingMillis) {
		GroupLoad group = backend.group();
		EventLog.log(Event.REQUEST_SENT, "request", this.request.id(), "server", backend.id(), "attempt", this.sends,
				"load", backend.load(), "group", (group != null) ? group.name() : "", "groupLoad",
				(group != null) ? group.load() : 0, "passMillis", (group != null) ? Math.round(group.passMillis()) : 0,
				"slots", backend.entry().slots(), "registry", this.context.backends().revision(), "remainingMillis",
				remainingMillis);
	}

	private Attempt.SilenceLimits silenceLimits(long remainingMillis) {
		return this.request.route().repeatable() ? this.timing.silenceLimits(remainingMillis)
				: Attempt.SilenceLimits.NONE;
	}

	/**
	 * Sends a replacement beside a silent attempt if that is affordable and a server that
	 * is not silent has room.
	 * @param silent the attempt
	 * @param search looks for the server
	 * @param remainingMillis the time until the request's deadline, in milliseconds
	 */
	void replaceIfPossible(Attempt silent, ReplacementSearch search, long remainingMillis) {
		SilenceDecision decision = SilenceRules.decide(silentRequest(remainingMillis));
		Optional<Backend> server = decision.replaces() ? search.find() : Optional.empty();
		if (decision.replaces() && server.isEmpty()) {
			decision = SilenceDecision.awaitFor(NO_SERVER);
		}
		else if (server.isPresent() && !send(server.get(), remainingMillis)) {
			decision = SilenceDecision.awaitFor(NO_TRIAL);
		}
		logSilence(silent, decision, server.map(Backend::id).orElse(""), remainingMillis);
	}

	// One send is kept for the time after a silent attempt breaks.
	private SilentRequest silentRequest(long remainingMillis) {
		boolean anyHeard = this.open.stream().anyMatch((attempt) -> !attempt.isSilent());
		return new SilentRequest(anyHeard, this.request.route().repeatable(),
				this.request.route().resumable() && this.position.isExact(), this.position.bytes(), this.possibleRuns,
				this.request.route().maxAttempts(), remainingMillis, this.sends < MAX_SENDS - 1,
				retryAllowed() && !this.suspicion.isBlamed());
	}

	private void logSilence(Attempt silent, SilenceDecision decision, String replacement, long remainingMillis) {
		if (!decision.replaces() && decision.equals(this.loggedDecision)) {
			return;
		}
		this.loggedDecision = decision;
		this.context.meters().countStep(this.request.service(), decision.reason(), false);
		EventLog.log(Event.ATTEMPT_SILENT, "request", this.request.id(), "server", silent.backend().id(),
				"silentMillis", silent.silentMillis(), "step", decision.step(), "reason", decision.reason(),
				"replacement", replacement, "open", this.open.size(), "runs", this.possibleRuns, "maxAttempts",
				this.request.route().maxAttempts(), "sends", this.sends, "deliveredBytes", this.position.bytes(),
				"remainingMillis", remainingMillis);
	}

	/**
	 * Records that an attempt has ended.
	 * @param attempt the attempt
	 * @param end how it ended
	 */
	void recordEnd(Attempt attempt, AttemptEnd end) {
		this.open.remove(attempt);
		if (end.provesNotRun()) {
			this.possibleRuns--;
		}
		if (end.mayHaveRunUnanswered()) {
			recordBroken(attempt);
		}
		if (end == AttemptEnd.NOT_SENT) {
			this.possibleArrivals--;
		}
	}

	private void recordBroken(Attempt attempt) {
		this.suspicion.recordBrokenAttempt(attempt, this.context.clock().nowMillis() - attempt.sentMillis());
	}

	/**
	 * Ends all attempts but one, which has answered in their place.
	 * @param answering the attempt that goes on
	 */
	void keepOnly(Attempt answering) {
		if (this.open.size() == 1 && this.open.get(0) == answering) {
			return;
		}
		for (Attempt other : List.copyOf(this.open)) {
			if (other != answering) {
				boolean silent = other.isSilent();
				EventLog.log(Event.ATTEMPT_REPLACED, "request", this.request.id(), "server", other.backend().id(), "by",
						answering.backend().id(), "silent", silent, "silentMillis", other.silentMillis(),
						"answeringAgeMillis", this.context.clock().nowMillis() - answering.sentMillis());
				this.open.remove(other);
				other.abandon("another attempt of the request has answered");
				if (silent) {
					recordBroken(other);
				}
			}
		}
	}

	/**
	 * Ends all open attempts.
	 */
	void abandonAll() {
		for (Attempt attempt : List.copyOf(this.open)) {
			this.open.remove(attempt);
			attempt.abandon("abandoned");
		}
	}

	/**
	 * Starts or stops reading from the servers.
	 * @param reading whether to read
	 */
	void setReading(boolean reading) {
		List.copyOf(this.open).forEach((attempt) -> attempt.setReading(reading));
	}

	/**
	 * Returns the state of the request after its last open attempt has ended.
	 * @param end how that attempt ended
	 * @param remainingMillis the time left for another attempt, in milliseconds
	 * @return the state
	 */
	RetryContext stateAfter(AttemptEnd end, long remainingMillis) {
		boolean serverLeft = this.sends < MAX_SENDS && this.context.backends().anyTakesNewWork(this.request.service());
		return new RetryContext(end, this.request.route().repeatable(),
				this.request.route().resumable() && this.position.isExact(), this.position.bytes(), this.possibleRuns,
				this.request.route().maxAttempts(), remainingMillis, retryAllowed(), serverLeft,
				this.possibleRuns > (end.provesNotRun() ? 0 : 1),
				(end == AttemptEnd.REFUSED) ? ProblemKind.OVERLOADED : null);
	}

	// A send that reached no server puts no load on any, so another send is not a retry.
	private boolean retryAllowed() {
		return this.possibleArrivals == 0 || (this.context.budgets().allowsRetry(this.request.service())
				&& !this.suspicion.isStronglySuspected());
	}

	/**
	 * Looks for a server that can take a replacement now.
	 */
	@FunctionalInterface
	interface ReplacementSearch {

		/**
		 * Looks for a server that has room and is not silent.
		 * @return the server, empty if there is none
		 */
		Optional<Backend> find();

	}

}
