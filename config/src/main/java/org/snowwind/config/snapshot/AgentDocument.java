package org.snowwind.config.snapshot;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.snowwind.model.Json;
import org.snowwind.model.resource.OrganisationSpec;

/**
 * The part of the configuration that concerns agents.
 *
 * @param weights the weight of each organisation whose weight is not 1
 */
public record AgentDocument(Map<String, Double> weights) {

	/** Every organisation weighs the same. */
	public static final AgentDocument NONE = new AgentDocument(Map.of());

	/**
	 * Takes the part out of a snapshot.
	 * @param snapshot the snapshot
	 * @return the part
	 */
	public static AgentDocument of(Snapshot snapshot) {
		Map<String, Double> weights = new TreeMap<>();
		for (ResourceSet.Named<OrganisationSpec> organisation : snapshot.resources().allOf(OrganisationSpec.class)) {
			if (organisation.spec().weight() != 1) {
				weights.put(organisation.name(), organisation.spec().weight());
			}
		}
		return new AgentDocument(Map.copyOf(weights));
	}

	/**
	 * Returns an organisation's weight.
	 * @param organisation its name
	 * @return its weight
	 */
	public double weightOf(String organisation) {
		return this.weights.getOrDefault(organisation, 1.0);
	}

	/**
	 * Encodes the document.
	 * @return the JSON text
	 */
	public byte[] encode() {
		try {
			return Json.MAPPER.writeValueAsBytes(this);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("names and numbers always serialize", ex);
		}
	}

	/**
	 * Decodes a document.
	 * @param bytes the JSON text
	 * @return the document
	 * @throws IOException if the bytes are no document
	 */
	public static AgentDocument decode(byte[] bytes) throws IOException {
		return Json.MAPPER.readValue(bytes, AgentDocument.class);
	}

}
