package org.snowwind.decide.blame;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Identifies the parts of prompts that end the servers that answer requests with them.
 *
 * <p>
 * Many requests share their first parts, so these are at nearly all ends of servers,
 * whatever the cause. Two observations tell them apart. A complete answer to a request
 * with a part shows that the part alone ends no server; ends from before that answer no
 * longer count against the part. Ends count by round: a round contains the ends of
 * requests that were sent before the ends of earlier rounds were known, so that the loss
 * of many servers at once is a single round.
 *
 * <p>
 * Parts are blamed in descending order of their number of ends, and an end that a blamed
 * part explains no longer counts against others. Among parts with nearly as many ends,
 * one that was never answered comes first, then the deeper one, which fewer requests
 * share.
 */
public final class PartBlame {

	/**
	 * The number of rounds from which on a part may be blamed that was never answered.
	 */
	public static final int MIN_ROUNDS = 2;

	/**
	 * The number of ends that blame a part after {@link #MIN_ROUNDS}; after more rounds
	 * fewer are enough, as it is less likely that they coincide.
	 */
	public static final int MIN_ENDS = 5;

	private static final int FEWER_ENDS_PER_ROUND = 2;

	/**
	 * The number of rounds from which on a part may be blamed that was answered before,
	 * for it may have become harmful with new weights, or that a deeper part may excuse.
	 */
	public static final int MIN_ROUNDS_IF_UNCERTAIN = 5;

	/** The number of ends that a deeper part shares with one that it may excuse. */
	private static final int MIN_SHARED_ENDS = 2;

	/** The number of ends that no blamed part explains and that blame another one. */
	private static final int MIN_ENDS_BESIDE_ANOTHER = 2;

	/** The number of ends by which parts may differ that are at the same ends. */
	private static final int SIMILAR_ENDS = 2;

	/**
	 * The number of ends that remain when the ends of any one request are left out;
	 * otherwise that request is suspected rather than its parts.
	 */
	private static final int MIN_ENDS_BESIDE_ONE_REQUEST = 2;

	private final Map<String, List<PartEnd>> all = new HashMap<>();

	private final Map<String, List<PartEnd>> unexplained = new HashMap<>();

	private final Map<String, Integer> answeredRounds;

	private final Map<String, Set<String>> serversByRequest = new HashMap<>();

	private PartBlame(Collection<PartEnd> ends, Map<String, Integer> answeredRounds,
			Collection<ServerEnd> requestEnds) {
		this.answeredRounds = answeredRounds;
		standing(ends, answeredRounds)
			.forEach((end) -> this.all.computeIfAbsent(end.part(), (part) -> new ArrayList<>()).add(end));
		this.all.forEach((part, ofPart) -> this.unexplained.put(part, new ArrayList<>(ofPart)));
		requestEnds.forEach((end) -> this.serversByRequest.computeIfAbsent(end.request(), (request) -> new HashSet<>())
			.add(end.server()));
	}

	/**
	 * Returns the parts to blame.
	 * @param ends the ends of servers under requests with each part
	 * @param answeredRounds for each part with a complete answer the number of rounds
	 * that were known when the answered request was sent
	 * @param requestEnds the ends of servers under single requests
	 * @return the parts whose requests must not be sent
	 */
	public static List<BlamedPart> blamedParts(Collection<PartEnd> ends, Map<String, Integer> answeredRounds,
			Collection<ServerEnd> requestEnds) {
		PartBlame blame = new PartBlame(ends, answeredRounds, requestEnds);
		List<BlamedPart> blamed = new ArrayList<>();
		String next = blame.next();
		while (next != null) {
			blamed.add(blame.accuse(next));
			next = blame.next();
		}
		return List.copyOf(blamed);
	}

	/**
	 * Returns the ends that count against their parts.
	 * @param ends all ends
	 * @param answeredRounds the rounds that answers have cleared
	 * @return the ends of later rounds
	 */
	public static List<PartEnd> standing(Collection<PartEnd> ends, Map<String, Integer> answeredRounds) {
		return ends.stream().filter((end) -> end.round() > answeredRounds.getOrDefault(end.part(), 0)).toList();
	}

	private String next() {
		List<String> eligible = this.unexplained.keySet().stream().filter(this::isEligible).toList();
		int maxEnds = eligible.stream().mapToInt((part) -> serversOf(part).size()).max().orElse(0);
		return eligible.stream()
			.filter((part) -> serversOf(part).size() >= maxEnds - SIMILAR_ENDS)
			.min(Comparator.<String, Boolean>comparing(this.answeredRounds::containsKey)
				.thenComparing((part) -> -this.unexplained.get(part).get(0).depth())
				.thenComparing((part) -> -serversOf(part).size())
				.thenComparing(Comparator.naturalOrder()))
			.orElse(null);
	}

	private boolean isEligible(String part) {
		return isEligible(part, this.unexplained.get(part), this.all.get(part));
	}

	private boolean isEligible(String part, List<PartEnd> unexplainedEnds, List<PartEnd> allEnds) {
		return (isSuspicious(part, unexplainedEnds) || isSuspiciousBesideAnother(part, unexplainedEnds, allEnds))
				&& !isExplainedByOneRequest(serversOf(unexplainedEnds));
	}

	private boolean isSuspicious(String part, List<PartEnd> ends) {
		int rounds = roundsOf(ends);
		if (rounds < MIN_ROUNDS) {
			return false;
		}
		Set<String> servers = serversOf(ends);
		boolean uncertain = this.answeredRounds.containsKey(part) || isContested(ends);
		int extraRounds = rounds - extraRoundsForNoise(servers) - (uncertain ? MIN_ROUNDS_IF_UNCERTAIN : MIN_ROUNDS);
		return extraRounds >= 0 && servers.size() + FEWER_ENDS_PER_ROUND * extraRounds >= MIN_ENDS;
	}

	// Two parts that end servers are often at the same ends, which the one that is blamed
	// first explains.
	private boolean isSuspiciousBesideAnother(String part, List<PartEnd> ends, List<PartEnd> allEnds) {
		return !this.answeredRounds.containsKey(part) && serversOf(ends).size() >= MIN_ENDS_BESIDE_ANOTHER
				&& roundsOf(allEnds) > MIN_ROUNDS && serversOf(allEnds).size() >= MIN_ENDS
				&& extraRoundsForNoise(serversOf(allEnds)) == 0 && !isContested(ends);
	}

	// A part that many requests share is at the ends under all deeper ones. If several of
	// these end servers, each has fewer ends than the shared part.
	private boolean isContested(List<PartEnd> ends) {
		Set<String> servers = serversOf(ends);
		int depth = ends.get(0).depth();
		return this.unexplained.entrySet()
			.stream()
			.filter((other) -> other.getValue().get(0).depth() > depth
					&& !this.answeredRounds.containsKey(other.getKey()))
			.map((other) -> serversOf(other.getValue()).stream().filter(servers::contains).count())
			.anyMatch((shared) -> shared >= MIN_SHARED_ENDS && 2 * shared >= servers.size());
	}

	private static int roundsOf(List<PartEnd> ends) {
		return (int) ends.stream().map(PartEnd::round).distinct().count();
	}

	private static Set<String> serversOf(List<PartEnd> ends) {
		Set<String> servers = new HashSet<>();
		ends.forEach((end) -> servers.add(end.server()));
		return servers;
	}

	private Set<String> serversOf(String part) {
		return serversOf(this.unexplained.get(part));
	}

	private boolean isExplainedByOneRequest(Set<String> servers) {
		return this.serversByRequest.values()
			.stream()
			.anyMatch((ofRequest) -> servers.stream()
				.filter((server) -> !ofRequest.contains(server))
				.limit(MIN_ENDS_BESIDE_ONE_REQUEST)
				.count() < MIN_ENDS_BESIDE_ONE_REQUEST);
	}

	// If many other parts without an answer were at several ends elsewhere, servers end
	// for other reasons, and a part can be at several ends by chance. Each fourfold
	// increase in the number of such parts requires one more round.
	private int extraRoundsForNoise(Set<String> servers) {
		long others = this.unexplained.keySet()
			.stream()
			.filter((part) -> !this.answeredRounds.containsKey(part))
			.filter((part) -> serversOf(part).stream()
				.filter((server) -> !servers.contains(server))
				.limit(2)
				.count() == 2)
			.count();
		return (Long.SIZE - 1 - Long.numberOfLeadingZeros(others + 1)) / 2;
	}

	private BlamedPart accuse(String part) {
		Set<String> servers = serversOf(part);
		boolean allowsTrial = !isEligibleBeforeLastRound(part);
		Set<String> organisations = new HashSet<>();
		this.unexplained.get(part).forEach((end) -> organisations.add(end.organisation()));
		this.unexplained.values().forEach((ends) -> ends.removeIf((end) -> servers.contains(end.server())));
		this.unexplained.values().removeIf(List::isEmpty);
		return new BlamedPart(part, Set.copyOf(organisations), Set.copyOf(servers), allowsTrial);
	}

	private boolean isEligibleBeforeLastRound(String part) {
		int lastRound = this.unexplained.get(part).stream().mapToInt(PartEnd::round).max().orElse(0);
		List<PartEnd> unexplainedBefore = before(lastRound, this.unexplained.get(part));
		return !unexplainedBefore.isEmpty()
				&& isEligible(part, unexplainedBefore, before(lastRound, this.all.get(part)));
	}

	private static List<PartEnd> before(int round, List<PartEnd> ends) {
		return ends.stream().filter((end) -> end.round() < round).toList();
	}

}
