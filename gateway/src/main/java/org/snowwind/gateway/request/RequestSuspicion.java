package org.snowwind.gateway.request;

import java.util.Objects;

import org.snowwind.gateway.backend.Backend;
import org.snowwind.gateway.suspect.Suspect;
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

	/** Computed on first use; {@code null} before. */
	private String digest;

	/**
	 * Creates the suspicion of a request that was just accepted.
	 * @param suspects tracks requests that are suspected of crashing servers
	 * @param request the request
	 */
	RequestSuspicion(Suspects suspects, CallerRequest request) {
		this.suspects = suspects;
		this.request = request;
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
		return this.suspects.blames(this.request.body().length, this::digest);
	}

	/**
	 * Returns whether the request is suspected so strongly that sending it again may
	 * crash another server.
	 * @return true if it must not be sent again after an attempt that reached a server
	 */
	boolean isStronglySuspected() {
		return this.suspects.grave(this.request.body().length, this::digest);
	}

	/**
	 * Records that the request was answered completely.
	 */
	void recordAnswered() {
		this.suspects.answered(this.request.body().length, this::digest);
	}

	/**
	 * Records that an attempt broke at a server that may have run the request.
	 * @param attempt the attempt
	 * @param ageMillis the time since the attempt was sent, in milliseconds
	 */
	void recordBrokenAttempt(Attempt attempt, long ageMillis) {
		Backend backend = attempt.backend();
		EventLog.log(Event.ATTEMPT_BROKE, "request", this.request.id(), "digest", digest(), "organisation",
				this.request.organisation(), "parts", this.request.metadata().sharedParts(), "server", backend.id(),
				"address", backend.entry().address(), "cause", attempt.cause(), "others", backend.inFlight(),
				"ageMillis", ageMillis);
		// A server that shuts down as planned cuts off its requests; none of them is the
		// cause.
		if (backend.isInService()) {
			String organisation = Objects.requireNonNullElse(this.request.organisation(), "");
			this.suspects.broke(backend.entry(),
					new Suspect(digest(), organisation, this.request.metadata().sharedParts(), ageMillis),
					attempt.lostConnection());
		}
	}

}
