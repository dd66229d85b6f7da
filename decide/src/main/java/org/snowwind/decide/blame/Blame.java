package org.snowwind.decide.blame;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Identifies the requests that end the servers that run them.
 *
 * <p>
 * When a server ends, all its requests fail, although only one of them may be the cause.
 * The cause was at every server that it ended. Another request was at a few of them by
 * chance, for instance because both were retried on the same server. Requests are
 * therefore blamed in descending order of their number of ends, and an end that a blamed
 * request explains no longer counts against other requests. If another request has at
 * least as many ends and shares more than half of them, a request is blamed only once it
 * has more ends than the other, or once both have {@link #MIN_TIED_ENDS}.
 *
 * <p>
 * The rules are made for one or a few callers that repeatedly send a request which ends
 * each server that runs it, while requests of other callers fail on the same servers and
 * some servers end for other reasons. {@code BlameTests} simulates this and counts the
 * requests that are blamed falsely.
 */
public final class Blame {

	/**
	 * The number of ends from which on a request is blamed. With two, requests that were
	 * retried on the same server as the cause would be blamed with it. Each additional
	 * end costs all callers another server for seconds.
	 */
	public static final int MIN_ENDS = 3;

	/**
	 * The number of ends from which on requests that cannot be told apart are all blamed.
	 * A cause that continues to end servers costs all callers more than an innocent
	 * request that is rejected.
	 */
	public static final int MIN_TIED_ENDS = 5;

	/**
	 * The number of ends from which on an answer clears a request of its ends. A single
	 * end blames no request, and nearly all requests that were at an end are answered
	 * soon afterwards, so there is no need to clear them earlier.
	 */
	public static final int MIN_CLEARABLE_ENDS = 2;

	private final Map<String, Set<String>> unexplained = new HashMap<>();

	/** Unexplained ends, including those that an answer cleared later. */
	private final Map<String, Set<String>> endsIncludingCleared = new HashMap<>();

	private final Set<String> blamed = new LinkedHashSet<>();

	private Blame(Collection<ServerEnd> ends, Collection<ServerEnd> cleared) {
		ends.forEach((end) -> add(this.unexplained, end));
		ends.forEach((end) -> add(this.endsIncludingCleared, end));
		cleared.forEach((end) -> add(this.endsIncludingCleared, end));
	}

	private static void add(Map<String, Set<String>> serversByRequest, ServerEnd end) {
		serversByRequest.computeIfAbsent(end.request(), (request) -> new HashSet<>()).add(end.server());
	}

	/**
	 * Returns the requests to blame.
	 * @param ends the ends that count against requests
	 * @param cleared the ends that counted against requests until these were answered
	 * @return the digests of the requests to blame
	 */
	public static Set<String> blamedRequests(Collection<ServerEnd> ends, Collection<ServerEnd> cleared) {
		Blame blame = new Blame(ends, cleared);
		Set<String> next = blame.next();
		while (!next.isEmpty()) {
			blame.accuse(next);
			next = blame.next();
		}
		return Set.copyOf(blame.blamed);
	}

	// Returns the requests with the most unexplained ends if they are to be blamed.
	private Set<String> next() {
		int maxEnds = this.unexplained.values().stream().mapToInt(Set::size).max().orElse(0);
		Set<String> next = new HashSet<>();
		if (maxEnds >= MIN_ENDS) {
			this.unexplained.forEach((request, servers) -> {
				if (servers.size() == maxEnds && maxEnds >= MIN_ENDS + extraEndsForNoise(servers)
						&& (maxEnds >= MIN_TIED_ENDS || !isContested(request, servers))) {
					next.add(request);
				}
			});
		}
		return next;
	}

	private void accuse(Set<String> requests) {
		Set<String> explained = new HashSet<>();
		requests.forEach((request) -> explained.addAll(this.unexplained.remove(request)));
		requests.forEach(this.endsIncludingCleared::remove);
		this.unexplained.values().forEach((servers) -> servers.removeAll(explained));
		this.endsIncludingCleared.values().forEach((servers) -> servers.removeAll(explained));
		this.blamed.addAll(requests);
	}

	private boolean isContested(String request, Set<String> servers) {
		return this.unexplained.entrySet().stream().anyMatch((other) -> {
			long shared = other.getValue().stream().filter(servers::contains).count();
			return !other.getKey().equals(request) && other.getValue().size() >= servers.size()
					&& 2 * shared > servers.size();
		});
	}

	// If many other requests were at several ends each, servers end for other reasons,
	// and a request can be at several ends by chance. Each fourfold increase in the
	// number of such requests requires one more end.
	private int extraEndsForNoise(Set<String> servers) {
		long others = this.endsIncludingCleared.values()
			.stream()
			.filter((ends) -> ends.stream().filter((server) -> !servers.contains(server)).limit(2).count() == 2)
			.count();
		return (Long.SIZE - 1 - Long.numberOfLeadingZeros(others + 1)) / 2;
	}

}
