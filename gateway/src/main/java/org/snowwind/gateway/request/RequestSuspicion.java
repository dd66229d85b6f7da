package org.snowwind.gateway.request;

import java.util.List;
import java.util.Objects;

import org.snowwind.gateway.backend.Backend;
import org.snowwind.gateway.suspect.Suspect;
import org.snowwind.gateway.suspect.SuspectPart;
import org.snowwind.gateway.suspect.Suspects;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Connects one request with the record of requests that are suspected of crashing
 * servers. The digest is computed on first use, and most requests never need it. Confined
 * to the event loop.
 */
final class RequestSuspicion {

	private final Suspects suspects;

	private final CallerRequest request;

	private final String organisation;

	/** The shared parts of the prompt, which have a meaning within one service only. */
	private final List<String> parts;

	/** Computed on first use; {@code null} before. */
	private String digest;

	/** The parts as they were known when the last attempt was sent. */
	private List<SuspectPart> partsAtSend = List.of();

	/**
	 * Creates the suspicion of a request that was just accepted.
	 * @param suspects tracks requests that are suspected of crashing servers
	 * @param request the request
	 */
	RequestSuspicion(Suspects suspects, CallerRequest request) {
		this.suspects = suspects;
		this.request = request;
		this.organisation = Objects.requireNonNullElse(request.organisation(), "");
		this.parts = request.metadata().sharedParts().stream().map((id) -> request.service() + "/" + id).toList();
	}

	/**
	 * Returns the digest that identical requests share.
	 * @return the digest
	 */
	String digest() {
		if (this.digest == null) {
			this.digest = this.request.digest();
		}
		return this.digest;
	}

	/**
	 * Returns whether the request is blamed for crashing servers.
	 * @return true if it must not be sent to any server
	 */
	boolean isBlamed() {
		// A trial of a blamed part is a single send.
		boolean sentBefore = !this.partsAtSend.isEmpty();
		boolean blocked = sentBefore ? blamedPart() != null : this.suspects.blocksPart(this.parts, this.organisation);
		return blocked || this.suspects.blames(this.request.body().length, this::digest);
	}

	/**
	 * Returns the part of the prompt that is blamed for crashing servers.
	 * @return the service and the id of the part; {@code null} if no part is blamed
	 */
	String blamedPart() {
		return this.suspects.blamedPart(this.parts, this.organisation);
	}

	/**
	 * Returns whether the request is suspected so strongly that sending it again may
	 * crash another server.
	 * @return true if it must not be sent again after an attempt that reached a server
	 */
	boolean isStronglySuspected() {
		return (blamedPart() == null && this.suspects.hasStronglySuspectedPart(this.parts))
				|| this.suspects.grave(this.request.body().length, this::digest);
	}

	/**
	 * Returns whether an attempt may be sent now. True uses up what is allowed.
	 * @return false if only few requests with a part of the prompt may be sent
	 */
	boolean acquireTrial() {
		return this.suspects.acquireTrial(this.request.id(), this.parts);
	}

	/**
	 * Records that an attempt is sent.
	 */
	void recordSend() {
		this.partsAtSend = this.suspects.partsAtSend(this.parts);
	}

	/**
	 * Records that the request was answered completely.
	 * @param success whether the server succeeded, which it does only after it has read
	 * the whole prompt
	 * @param attempt the attempt that was answered
	 */
	void recordAnswered(boolean success, Attempt attempt) {
		if (attempt.isFramed()) {
			this.suspects.answered(this.request.body().length, this::digest);
		}
		else {
			this.suspects.answeredByClosing(attempt.backend().entry(), this.request.body().length, this::digest);
		}
		if (!success || this.parts.isEmpty()) {
			return;
		}
		if (attempt.isFramed()) {
			this.suspects.answeredParts(this.partsAtSend);
		}
		else {
			this.suspects.answeredPartsByClosing(attempt.backend().entry(), this.partsAtSend);
		}
	}

	/**
	 * Records that an attempt broke at a server that may have run the request.
	 * @param attempt the attempt
	 * @param ageMillis the time since the attempt was sent, in milliseconds
	 */
	void recordBrokenAttempt(Attempt attempt, long ageMillis) {
		Backend backend = attempt.backend();
		EventLog.log(Event.ATTEMPT_BROKE, "request", this.request.id(), "digest", digest(), "organisation",
				this.request.organisation(), "parts", this.partsAtSend, "server", backend.id(), "address",
				backend.entry().address(), "cause", attempt.cause(), "others", backend.inFlight(), "ageMillis",
				ageMillis);
		// A server that shuts down as planned cuts off its requests; none of them is the
		// cause.
		if (backend.isInService()) {
			this.suspects.broke(backend.entry(), new Suspect(digest(), this.organisation, this.partsAtSend, ageMillis),
					attempt.lostConnection());
		}
	}

}
