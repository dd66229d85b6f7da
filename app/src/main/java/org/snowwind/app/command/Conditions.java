package org.snowwind.app.command;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads the conditions of a resource.
 */
final class Conditions {

	private Conditions() {
	}

	static JsonNode find(JsonNode resource, String type) {
		for (JsonNode condition : resource.path("conditions")) {
			if (condition.path("type").asText().equalsIgnoreCase(type)) {
				return condition;
			}
		}
		return resource.path("conditions").path(type);
	}

	static String holds(JsonNode resource, String type) {
		return find(resource, type).path("holds").asBoolean() ? "yes" : "no";
	}

	static String reason(JsonNode resource, String type) {
		return find(resource, type).path("reason").asText();
	}

}
