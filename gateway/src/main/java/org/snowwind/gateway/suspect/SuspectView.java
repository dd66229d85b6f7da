package org.snowwind.gateway.suspect;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.snowwind.decide.blame.Blame;
import org.snowwind.decide.blame.ServerEnd;

/**
 * What is known of suspects at one moment. Immutable.
 */
public final class SuspectView {

	/** Nothing is known. */
	public static final SuspectView EMPTY = of(Set.of(), Set.of());

	private final Map<String, Set<String>> serversByRequest;

	private final Set<String> blamed;

	private final Set<Integer> bodyLengths;

	private final PartView parts;

	private SuspectView(Map<String, Set<String>> serversByRequest, Set<String> blamed, PartView parts) {
		this.parts = parts;
		this.serversByRequest = serversByRequest;
		this.blamed = blamed;
		this.bodyLengths = new HashSet<>();
		serversByRequest.keySet().forEach((digest) -> this.bodyLengths.add(RequestDigest.bodyBytesOf(digest)));
	}

	/**
	 * Creates a view without evidence on parts of prompts.
	 * @param ends what all gateways have seen
	 * @param cleared what they saw and speaks against no request any more
	 * @return the view
	 */
	public static SuspectView of(Collection<ServerEnd> ends, Collection<ServerEnd> cleared) {
		return of(ends, cleared, PartEvidence.EMPTY);
	}

	/**
	 * Creates a view.
	 * @param ends what all gateways have seen
	 * @param cleared what they saw and speaks against no request any more
	 * @param evidence their evidence on parts of prompts
	 * @return the view
	 */
	public static SuspectView of(Collection<ServerEnd> ends, Collection<ServerEnd> cleared, PartEvidence evidence) {
		PartView parts = PartView.of(evidence, ends);
		Set<String> explained = parts.explainedServers();
		Map<String, Set<String>> servers = new LinkedHashMap<>();
		ends.forEach((end) -> servers.computeIfAbsent(end.request(), (key) -> new LinkedHashSet<>()).add(end.server()));
		return new SuspectView(servers,
				Blame.blamedRequests(unexplained(ends, explained), unexplained(cleared, explained)), parts);
	}

	private static Collection<ServerEnd> unexplained(Collection<ServerEnd> ends, Set<String> explained) {
		return explained.isEmpty() ? ends : ends.stream().filter((end) -> !explained.contains(end.server())).toList();
	}

	/**
	 * Returns what is known of parts of prompts.
	 * @return the view of parts
	 */
	public PartView parts() {
		return this.parts;
	}

	/**
	 * Tells whether a request may be a suspect, which spares most requests the digest.
	 * @param bodyBytes the length of its body
	 * @return false if it surely is none
	 */
	boolean mayKnow(int bodyBytes) {
		return this.bodyLengths.contains(bodyBytes);
	}

	/**
	 * Tells whether a request is to blame for the ends of servers.
	 * @param digest its digest
	 * @return whether it must not be sent to a server
	 */
	public boolean blames(String digest) {
		return this.blamed.contains(digest);
	}

	/**
	 * Lists the requests that are to blame.
	 * @return their digests
	 */
	public Set<String> blamed() {
		return this.blamed;
	}

	/**
	 * Lists the servers that ended while a request was there.
	 * @param digest its digest
	 * @return lives of servers
	 */
	public Set<String> serversOf(String digest) {
		return this.serversByRequest.getOrDefault(digest, Set.of());
	}

	/**
	 * Lists all suspects.
	 * @return their digests
	 */
	public Set<String> suspects() {
		return this.serversByRequest.keySet();
	}

}
