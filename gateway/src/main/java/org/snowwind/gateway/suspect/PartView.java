package org.snowwind.gateway.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.snowwind.decide.blame.BlamedPart;
import org.snowwind.decide.blame.PartBlame;
import org.snowwind.decide.blame.PartEnd;
import org.snowwind.decide.blame.ServerEnd;

/**
 * What is known of parts of prompts under which servers ended. Immutable.
 */
public final class PartView {

	/** Nothing is known. */
	public static final PartView EMPTY = of(PartEvidence.EMPTY, List.of());

	/** The number of rounds from which on requests with a part are not sent again. */
	private static final int STRONG_ROUNDS = 2;

	private final PartEvidence evidence;

	private final Map<String, Integer> knownRounds = new HashMap<>();

	private final Map<String, BlamedPart> blamed = new HashMap<>();

	private final Map<String, Integer> endsOfPart = new HashMap<>();

	private final Set<String> repeatedlyAtEnds = new HashSet<>();

	private PartView(PartEvidence evidence, List<BlamedPart> blamed) {
		this.evidence = evidence;
		evidence.ends().forEach((end) -> this.knownRounds.merge(end.part(), end.round(), Math::max));
		// Ends may be forgotten before the answers that cleared them.
		evidence.answeredRounds().forEach((part, round) -> this.knownRounds.merge(part, round, Math::max));
		blamed.forEach((part) -> this.blamed.put(part.part(), part));
		Map<String, Set<Integer>> rounds = new HashMap<>();
		Map<String, Set<String>> servers = new HashMap<>();
		for (PartEnd end : standing()) {
			rounds.computeIfAbsent(end.part(), (part) -> new HashSet<>()).add(end.round());
			servers.computeIfAbsent(end.part(), (part) -> new HashSet<>()).add(end.server());
		}
		servers.forEach((part, ofPart) -> this.endsOfPart.put(part, ofPart.size()));
		rounds.forEach((part, ofPart) -> {
			if (ofPart.size() >= STRONG_ROUNDS) {
				this.repeatedlyAtEnds.add(part);
			}
		});
	}

	/**
	 * Creates a view.
	 * @param evidence the evidence of all gateways
	 * @param requestEnds the ends of servers under single requests
	 * @return the view
	 */
	static PartView of(PartEvidence evidence, Collection<ServerEnd> requestEnds) {
		return new PartView(evidence, PartBlame.blamedParts(evidence.ends(), evidence.answeredRounds(), requestEnds));
	}

	/**
	 * Returns the parts of a prompt as they are known at a send.
	 * @param keys the parts of the prompt, in order
	 * @return each with the number of its known rounds
	 */
	List<SuspectPart> atSend(List<String> keys) {
		List<SuspectPart> parts = new ArrayList<>(keys.size());
		for (String key : keys) {
			parts.add(new SuspectPart(key, parts.size(), this.knownRounds.getOrDefault(key, 0)));
		}
		return parts;
	}

	/**
	 * Returns the first part for which the requests of an organisation must not be sent.
	 * @param keys the parts of a prompt
	 * @param organisation the organisation; empty if it is not known
	 * @return the part; {@code null} if none is blamed
	 */
	String blamedOf(List<String> keys, String organisation) {
		for (String key : keys) {
			BlamedPart part = this.blamed.get(key);
			if (part != null && part.appliesTo(organisation)) {
				return key;
			}
		}
		return null;
	}

	/**
	 * Returns whether a part comes close to being blamed.
	 * @param key the part
	 * @return true if one more round may blame it and no answer speaks for it
	 */
	boolean isStronglySuspected(String key) {
		return isOnTrial(key)
				|| (this.repeatedlyAtEnds.contains(key) && !this.evidence.answeredRounds().containsKey(key));
	}

	/**
	 * Returns whether a part was at so many ends, without ever being answered, that few
	 * requests with it may be sent until it is clear whether it caused them.
	 * @param key the part
	 * @return true if requests with it are limited
	 */
	boolean isOnTrial(String key) {
		return endsOf(key) >= PartBlame.MIN_ENDS && !this.evidence.answeredRounds().containsKey(key) && !isBlamed(key);
	}

	/**
	 * Returns whether one request may find out whether a blamed part is harmless.
	 * @param key the part
	 * @return true if it is blamed and was not tried since
	 */
	boolean allowsTrial(String key) {
		return this.blamed.containsKey(key) && this.blamed.get(key).allowsTrial();
	}

	/**
	 * Returns the number of ends that count against a part.
	 * @param key the part
	 * @return the number of servers
	 */
	int endsOf(String key) {
		return this.endsOfPart.getOrDefault(key, 0);
	}

	/**
	 * Returns the parts for which answers are of interest.
	 * @return the parts with ends that count against them
	 */
	public Set<String> atEnds() {
		return this.endsOfPart.keySet();
	}

	/**
	 * Returns the blamed parts.
	 * @return the parts whose requests must not be sent
	 */
	public Collection<BlamedPart> blamed() {
		return this.blamed.values();
	}

	/**
	 * Returns whether a part is blamed for any organisation.
	 * @param key the part
	 * @return true if it is blamed
	 */
	public boolean isBlamed(String key) {
		return this.blamed.containsKey(key);
	}

	/**
	 * Returns the ends that count against their parts.
	 * @return the ends
	 */
	public List<PartEnd> standing() {
		return PartBlame.standing(this.evidence.ends(), this.evidence.answeredRounds());
	}

	/**
	 * Returns the rounds of a part that answers have cleared.
	 * @param key the part
	 * @return the number of rounds; -1 if no answer is known
	 */
	int answeredRound(String key) {
		return this.evidence.answeredRounds().getOrDefault(key, -1);
	}

	/**
	 * Returns the servers whose ends blamed parts explain.
	 * @return the incarnations of the servers
	 */
	Set<String> explainedServers() {
		Set<String> servers = new HashSet<>();
		this.blamed.values().forEach((part) -> servers.addAll(part.servers()));
		return servers;
	}

}
