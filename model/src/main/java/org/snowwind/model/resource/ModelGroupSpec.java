package org.snowwind.model.resource;

/**
 * A group of ranks that serve one model in lock-step.
 *
 * @param model the model's name in callers' paths
 * @param ranks how many ranks the group has
 * @param layers how many expert layers the model has
 * @param experts how many experts each layer has
 * @param slotsPerRank how many experts of one layer fit on one rank
 * @param expertMap the name of its {@link ExpertMapSpec}; {@code null} for a model
 * without experts
 */
public record ModelGroupSpec(String model, int ranks, int layers, int experts, int slotsPerRank,
		String expertMap) implements ResourceSpec {

}
