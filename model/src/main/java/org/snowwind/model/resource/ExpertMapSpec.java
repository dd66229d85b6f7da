package org.snowwind.model.resource;

import java.util.List;

/**
 * Which ranks hold which experts.
 *
 * @param placement for each layer, for each expert, the ranks that hold a replica
 */
public record ExpertMapSpec(List<List<List<Integer>>> placement) implements ResourceSpec {

	/**
	 * Fills absent fields with their defaults.
	 */
	public ExpertMapSpec {
		placement = (placement != null) ? List.copyOf(placement) : List.of();
	}

}
