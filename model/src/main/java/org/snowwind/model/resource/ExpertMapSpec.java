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
	 * @throws NullPointerException if a layer, a list of ranks or a rank is {@code null}
	 */
	public ExpertMapSpec {
		placement = (placement != null)
				? placement.stream().map((layer) -> layer.stream().map(List::copyOf).toList()).toList() : List.of();
	}

}
