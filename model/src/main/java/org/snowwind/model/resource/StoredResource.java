package org.snowwind.model.resource;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The form in which the platform keeps a resource.
 *
 * @param kind the kind's title
 * @param name the name
 * @param generation grows by one with each change of the specification
 * @param spec the specification as JSON
 */
public record StoredResource(String kind, String name, long generation, JsonNode spec) {

}
