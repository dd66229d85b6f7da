package org.snowwind.gateway.suspect;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.snowwind.decide.blame.Blame;
import org.snowwind.decide.blame.PartEnd;
import org.snowwind.decide.blame.ServerEnd;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.suspect.SuspectDocument.SeenEnd;
import org.snowwind.http.DataLoop;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * What requests ask and tell about suspects. Confined to the loop.
 *
 * <p>
 * Digests are asked for only where something broke, or where a suspect has a body of the
 * same length.
 */
public final class Suspects {

	private final Supplier<SuspectView> view;

	private final Sightings sightings;

	private final ProcessProbe probe;

	private final EndWatch ends;

	private final PartTrials trials;

	/**
	 * Creates the part of suspects that requests see.
	 * @param view gives what is known
	 * @param sightings takes what this gateway sees
	 * @param probe asks whether a server's process is there
	 * @param isFirst whether this gateway ranks first among all for a text
	 * @param loop the thread that owns all requests
	 * @param clock tells the time
	 */
	public Suspects(Supplier<SuspectView> view, Sightings sightings, ProcessProbe probe, Predicate<String> isFirst,
			DataLoop loop, MonotonicClock clock) {
		this.view = view;
		this.sightings = sightings;
		this.probe = probe;
		this.trials = new PartTrials(isFirst, clock);
		this.ends = new EndWatch(probe, (millis, work) -> loop.later(work, millis), clock, new Recorder());
	}

	/**
	 * Tells whether a request is to blame for the ends of servers.
	 * @param bodyBytes the length of its body
	 * @param digest gives its digest
	 * @return whether it must not be sent to a server
	 */
	public boolean blames(int bodyBytes, Supplier<String> digest) {
		SuspectView known = this.view.get();
		return known.mayKnow(bodyBytes) && known.blames(digest.get());
	}

	/**
	 * Tells whether a request is suspected as strongly as one that is blamed, and only
	 * another one that comes close keeps it from being blamed. Each further server that
	 * gets it may be the price.
	 * @param bodyBytes the length of its body
	 * @param digest gives its digest
	 * @return whether it must not be sent again after an attempt that reached a server
	 */
	public boolean grave(int bodyBytes, Supplier<String> digest) {
		SuspectView known = this.view.get();
		return known.mayKnow(bodyBytes) && !known.blames(digest.get())
				&& known.serversOf(digest.get()).size() >= Blame.MIN_ENDS;
	}

	/**
	 * Returns the part of a prompt for which a request must not be sent.
	 * @param parts the keys of its shared parts
	 * @param organisation whose request it is; empty if nobody's
	 * @return the key of the part; {@code null} if none is blamed
	 */
	public String blamedPart(List<String> parts, String organisation) {
		return this.view.get().parts().blamedOf(parts, organisation);
	}

	/**
	 * Returns whether a request must not be sent because of a part of its prompt.
	 * @param parts the keys of its shared parts
	 * @param organisation whose request it is; empty if nobody's
	 * @return false also if the request may find out whether a blamed part is harmless
	 */
	public boolean blocksPart(List<String> parts, String organisation) {
		String blamed = blamedPart(parts, organisation);
		return blamed != null && !this.trials.allowsTrial(blamed, parts, this.view.get().parts());
	}

	/**
	 * Tells whether a part of a prompt comes close to being blamed.
	 * @param parts the keys of the shared parts of a request
	 * @return whether it must not be sent again after an attempt that reached a server
	 */
	public boolean hasStronglySuspectedPart(List<String> parts) {
		PartView known = this.view.get().parts();
		return parts.stream().anyMatch(known::isStronglySuspected);
	}

	/**
	 * Returns whether a request may be sent although a part of its prompt may end
	 * servers.
	 * @param request the id of the request
	 * @param parts the keys of its shared parts
	 * @return false if only few requests with a part may be sent and this is none of them
	 */
	public boolean acquireTrial(String request, List<String> parts) {
		return parts.isEmpty() || this.trials.acquire(request, parts, this.view.get().parts());
	}

	/**
	 * Returns what is known of the parts of a prompt as its request is sent.
	 * @param parts the keys of its shared parts
	 * @return one for each part, in order
	 */
	public List<SuspectPart> partsAtSend(List<String> parts) {
		return this.view.get().parts().atSend(parts);
	}

	/**
	 * Records that a request was answered completely and with success.
	 * @param parts its shared parts as it was sent
	 */
	public void answeredParts(List<SuspectPart> parts) {
		this.sightings.answeredParts(parts);
	}

	/**
	 * Records a successful answer that ended with its connection. It speaks for its parts
	 * only if the server still listens, since a crash ends connections, too.
	 * @param server the server as it was registered
	 * @param parts the shared parts of the request as it was sent
	 */
	public void answeredPartsByClosing(BackendEntry server, List<SuspectPart> parts) {
		Set<String> atEnds = this.view.get().parts().atEnds();
		if (parts.stream().anyMatch((part) -> atEnds.contains(part.key()))) {
			this.probe.ask(server.host(), server.port(), (gone) -> {
				if (!gone) {
					this.sightings.answeredParts(parts);
				}
			});
		}
	}

	/**
	 * Takes note that a request was answered in full.
	 * @param bodyBytes the length of its body
	 * @param digest gives its digest
	 */
	public void answered(int bodyBytes, Supplier<String> digest) {
		if (isClearable(bodyBytes, digest)) {
			this.sightings.answered(digest.get());
		}
	}

	/**
	 * Records that a request was answered by a response that ended with its connection.
	 * It speaks for the request only if the server still listens, since a crash ends
	 * connections, too.
	 * @param server the server as it was registered
	 * @param bodyBytes the length of the request's body
	 * @param digest gives the request's digest
	 */
	public void answeredByClosing(BackendEntry server, int bodyBytes, Supplier<String> digest) {
		if (isClearable(bodyBytes, digest)) {
			this.probe.ask(server.host(), server.port(), (gone) -> {
				if (!gone) {
					this.sightings.answered(digest.get());
				}
			});
		}
	}

	private boolean isClearable(int bodyBytes, Supplier<String> digest) {
		SuspectView known = this.view.get();
		return known.mayKnow(bodyBytes) && known.serversOf(digest.get()).size() >= Blame.MIN_CLEARABLE_ENDS;
	}

	/**
	 * Takes note that an attempt broke.
	 * @param server the server as it was registered
	 * @param request what was there
	 * @param lostConnection whether its connection ended, as with the end of its process
	 */
	public void broke(BackendEntry server, Suspect request, boolean lostConnection) {
		this.ends.broke(server, request, lostConnection);
	}

	/**
	 * Takes note of a byte of a server.
	 * @param server which life of it
	 */
	public void heard(BackendIncarnation server) {
		this.ends.heard(server);
	}

	private static String nameOf(BackendIncarnation server) {
		return (server.bornMillis() == BackendIncarnation.UNKNOWN) ? server.id()
				: server.id() + "@" + server.bornMillis();
	}

	/**
	 * Takes what this gateway sees.
	 */
	public interface Sightings {

		/**
		 * A server ended while a request was there.
		 * @param seen the end
		 */
		void ended(SeenEnd seen);

		/**
		 * A server ended while a request with parts in its prompt was there.
		 * @param ends the end for each part
		 */
		void endedWithParts(List<PartEnd> ends);

		/**
		 * A request with parts in its prompt was answered completely and with success.
		 * @param parts the parts as it was sent
		 */
		void answeredParts(List<SuspectPart> parts);

		/**
		 * A suspect was answered.
		 * @param digest its digest
		 */
		void answered(String digest);

		/**
		 * A server has not ended after all.
		 * @param server which life of it
		 */
		void lives(String server);

	}

	private final class Recorder implements EndWatch.Listener {

		@Override
		public void ended(BackendEntry server, Suspect request) {
			EventLog.log(Event.SERVER_ENDED, "server", server.id(), "service", server.service(), "address",
					server.address(), "digest", request.digest(), "organisation", request.organisation(), "parts",
					request.parts(), "ageMillis", request.ageMillis());
			Suspects.this.sightings.ended(new SeenEnd(new ServerEnd(request.digest(), nameOf(server.incarnation())),
					request.organisation(), request.ageMillis()));
			if (!request.parts().isEmpty()) {
				Suspects.this.sightings.endedWithParts(request.parts()
					.stream()
					.map((part) -> new PartEnd(part.key(), request.organisation(), nameOf(server.incarnation()),
							part.knownRounds() + 1, part.depth()))
					.toList());
			}
		}

		@Override
		public void lives(BackendIncarnation server) {
			Suspects.this.sightings.lives(nameOf(server));
		}

	}

}
