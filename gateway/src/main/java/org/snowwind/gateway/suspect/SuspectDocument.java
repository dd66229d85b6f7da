package org.snowwind.gateway.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.snowwind.decide.blame.ServerEnd;
import org.snowwind.model.Json;

/**
 * What one writer says of suspects, as it stands in the platform. Immutable.
 *
 * @param ends the ends that the writer saw
 * @param cleared ends that speak no longer against their request, whoever saw them, since
 * it was answered later or an operator released it
 * @param alive lives of servers that were told to have ended and have not
 * @param parts the evidence on parts of prompts
 */
public record SuspectDocument(List<SeenEnd> ends, Set<ServerEnd> cleared, Set<String> alive, PartEvidence parts) {

	/** Says nothing. */
	public static final SuspectDocument EMPTY = new SuspectDocument(List.of(), Set.of(), Set.of(), PartEvidence.EMPTY);

	private static final String REQUEST = "request";

	private static final String SERVER = "server";

	/** So much is read of one document; other writers may put anything there. */
	private static final int MOST_READ = 1024;

	/**
	 * Reads a document. What is not as it should be in it is left out and hides nothing
	 * else.
	 * @param value the document, {@code null} for none
	 * @return what it says
	 */
	public static SuspectDocument read(JsonNode value) {
		if (value == null) {
			return EMPTY;
		}
		List<SeenEnd> ends = new ArrayList<>();
		for (JsonNode end : value.path("ends")) {
			if (whole(end) && ends.size() < MOST_READ) {
				ends.add(new SeenEnd(endOf(end), end.path("organisation").asText(""), end.path("ageMillis").asLong()));
			}
		}
		Set<ServerEnd> cleared = new LinkedHashSet<>();
		for (JsonNode end : value.path("cleared")) {
			if (whole(end) && cleared.size() < MOST_READ) {
				cleared.add(endOf(end));
			}
		}
		Set<String> alive = new LinkedHashSet<>();
		for (JsonNode server : value.path("alive")) {
			if (server.isTextual() && alive.size() < MOST_READ) {
				alive.add(server.asText());
			}
		}
		return new SuspectDocument(List.copyOf(ends), Set.copyOf(cleared), Set.copyOf(alive),
				PartEvidence.read(value.path("parts")));
	}

	/**
	 * Joins what several writers say.
	 * @param documents their documents
	 * @return who saw each end that speaks against its request
	 */
	public static Map<ServerEnd, List<SeenEnd>> standing(Collection<SuspectDocument> documents) {
		Set<ServerEnd> cleared = cleared(documents);
		Set<String> alive = new HashSet<>();
		documents.forEach((document) -> alive.addAll(document.alive()));
		Map<ServerEnd, List<SeenEnd>> standing = new LinkedHashMap<>();
		documents.forEach((document) -> document.ends().forEach((seen) -> {
			if (!cleared.contains(seen.end()) && !alive.contains(seen.end().server())) {
				standing.computeIfAbsent(seen.end(), (first) -> new ArrayList<>()).add(seen);
			}
		}));
		return standing;
	}

	/**
	 * Joins the evidence of several writers on parts of prompts.
	 * @param documents their documents
	 * @return the evidence
	 */
	static PartEvidence parts(Collection<SuspectDocument> documents) {
		Set<String> alive = new HashSet<>();
		documents.forEach((document) -> alive.addAll(document.alive()));
		return PartEvidence.join(documents.stream().map(SuspectDocument::parts).toList(), alive);
	}

	/**
	 * Joins what several writers have cleared.
	 * @param documents their documents
	 * @return the ends that speak against no request any more
	 */
	public static Set<ServerEnd> cleared(Collection<SuspectDocument> documents) {
		Set<ServerEnd> cleared = new HashSet<>();
		documents.forEach((document) -> cleared.addAll(document.cleared()));
		return cleared;
	}

	private static boolean whole(JsonNode end) {
		return end.path(REQUEST).isTextual() && end.path(SERVER).isTextual()
				&& RequestDigest.bodyBytesOf(end.path(REQUEST).asText()) >= 0;
	}

	private static ServerEnd endOf(JsonNode end) {
		return new ServerEnd(end.path(REQUEST).asText(), end.path(SERVER).asText());
	}

	/**
	 * Renders the document.
	 * @return a JSON object
	 */
	public JsonNode toJson() {
		ObjectNode value = Json.MAPPER.createObjectNode();
		ArrayNode listedEnds = value.putArray("ends");
		for (SeenEnd seen : this.ends) {
			write(listedEnds.addObject(), seen.end()).put("organisation", seen.organisation())
				.put("ageMillis", seen.ageMillis());
		}
		ArrayNode listedCleared = value.putArray("cleared");
		this.cleared.forEach((end) -> write(listedCleared.addObject(), end));
		ArrayNode listedAlive = value.putArray("alive");
		this.alive.forEach(listedAlive::add);
		value.set("parts", this.parts.toJson());
		return value;
	}

	private static ObjectNode write(ObjectNode node, ServerEnd end) {
		return node.put(REQUEST, end.request()).put(SERVER, end.server());
	}

	/**
	 * An end that one gateway saw.
	 *
	 * @param end the request and the server
	 * @param organisation whose request it is, empty if nobody's
	 * @param ageMillis how long the request was there, in milliseconds
	 */
	public record SeenEnd(ServerEnd end, String organisation, long ageMillis) {

	}

}
