package org.snowwind.model.resource;

/**
 * A plain service that stands beside the model engines.
 *
 * @param description what it is for
 */
public record ServiceSpec(String description) implements ResourceSpec {

}
