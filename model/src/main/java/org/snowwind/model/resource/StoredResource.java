package org.snowwind.model.resource;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The form in which the platform keeps a resource.
 *
 * @param kind the kind's title
 * @param name the name
 * @param generation grows by one with each change of the specification
 * @param writeId tells this write apart from any other, so that a write whose answer was
 * lost can be recognised when it is read back
 * @param spec the specification as JSON
 */
public record StoredResource(String kind, String name, long generation, String writeId, JsonNode spec) {

}
