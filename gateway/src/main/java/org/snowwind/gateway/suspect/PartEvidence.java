package org.snowwind.gateway.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.snowwind.decide.blame.PartEnd;
import org.snowwind.model.Json;

/**
 * Evidence for and against parts of prompts, as one or all gateways have written it.
 * Immutable.
 *
 * @param ends the ends of servers under requests with each part
 * @param answeredRounds for each part with a complete answer the number of rounds that
 * were known when the answered request was sent
 */
public record PartEvidence(List<PartEnd> ends, Map<String, Integer> answeredRounds) {

	/** No evidence. */
	public static final PartEvidence EMPTY = new PartEvidence(List.of(), Map.of());

	private static final String PART = "part";

	private static final String SERVER = "server";

	/** The maximum number of entries that are read; other writers may write anything. */
	private static final int MAX_READ = 1024;

	private static final int MAX_ROUND = 1_000_000;

	private static final int MAX_NAME_CHARACTERS = 256;

	/**
	 * Reads evidence. Malformed entries are left out.
	 * @param value the JSON object; may be missing
	 * @return the evidence
	 */
	static PartEvidence read(JsonNode value) {
		List<PartEnd> ends = new ArrayList<>();
		for (JsonNode end : value.path("ends")) {
			if (isName(end.path(PART)) && isName(end.path(SERVER)) && ends.size() < MAX_READ) {
				ends.add(new PartEnd(end.path(PART).asText(), end.path("organisation").asText(""),
						end.path(SERVER).asText(), Math.max(1, round(end.path("round"))), end.path("depth").asInt()));
			}
		}
		Map<String, Integer> answered = new LinkedHashMap<>();
		for (JsonNode answer : value.path("answered")) {
			if (isName(answer.path(PART)) && answered.size() < MAX_READ) {
				answered.put(answer.path(PART).asText(), round(answer.path("round")));
			}
		}
		return new PartEvidence(List.copyOf(ends), Map.copyOf(answered));
	}

	private static boolean isName(JsonNode name) {
		return name.isTextual() && name.asText().length() <= MAX_NAME_CHARACTERS;
	}

	private static int round(JsonNode round) {
		return Math.min(Math.max(round.asInt(), 0), MAX_ROUND);
	}

	/**
	 * Joins the evidence of several writers.
	 * @param written what each has written
	 * @param alive the incarnations of servers that did not end after all
	 * @return one end for each part, organisation and server, in the earliest round of
	 * the part at that server
	 */
	static PartEvidence join(Collection<PartEvidence> written, Set<String> alive) {
		Map<EndKey, PartEnd> ends = new LinkedHashMap<>();
		Map<EndKey, Integer> earliestRounds = new HashMap<>();
		Map<String, Integer> answered = new LinkedHashMap<>();
		for (PartEvidence one : written) {
			one.ends.stream().filter((end) -> !alive.contains(end.server())).forEach((end) -> {
				ends.putIfAbsent(EndKey.of(end), end);
				earliestRounds.merge(EndKey.ofAnyOrganisation(end), end.round(), Math::min);
			});
			one.answeredRounds.forEach((part, round) -> answered.merge(part, round, Math::max));
		}
		ends.replaceAll((key, end) -> new PartEnd(end.part(), end.organisation(), end.server(),
				earliestRounds.get(EndKey.ofAnyOrganisation(end)), end.depth()));
		return new PartEvidence(List.copyOf(ends.values()), Map.copyOf(answered));
	}

	static PartEnd earlier(PartEnd one, PartEnd other) {
		return (other.round() < one.round()) ? other : one;
	}

	/**
	 * Adds answers that only this gateway knows of.
	 * @param parts the parts to add
	 * @param answered the answers
	 * @return all evidence
	 */
	PartEvidence with(Collection<String> parts, AnsweredParts answered) {
		Map<String, Integer> all = new LinkedHashMap<>(this.answeredRounds);
		for (String part : parts) {
			if (answered.roundOf(part) >= 0) {
				all.merge(part, answered.roundOf(part), Math::max);
			}
		}
		return new PartEvidence(this.ends, Map.copyOf(all));
	}

	JsonNode toJson() {
		ObjectNode value = Json.MAPPER.createObjectNode();
		ArrayNode listedEnds = value.putArray("ends");
		for (PartEnd end : this.ends) {
			listedEnds.addObject()
				.put(PART, end.part())
				.put("organisation", end.organisation())
				.put(SERVER, end.server())
				.put("round", end.round())
				.put("depth", end.depth());
		}
		ArrayNode listedAnswers = value.putArray("answered");
		this.answeredRounds.forEach((part, round) -> listedAnswers.addObject().put(PART, part).put("round", round));
		return value;
	}

	/**
	 * What identifies an end: organisations differ in whose requests were there.
	 *
	 * @param part the part
	 * @param organisation the organisation
	 * @param server the incarnation of the server
	 */
	record EndKey(String part, String organisation, String server) {

		static EndKey of(PartEnd end) {
			return new EndKey(end.part(), end.organisation(), end.server());
		}

		private static EndKey ofAnyOrganisation(PartEnd end) {
			return new EndKey(end.part(), "", end.server());
		}

	}

}
