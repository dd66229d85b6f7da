package org.snowwind.agent.rank;

/**
 * The platform's store of expert weights, which has a rate limit.
 */
@FunctionalInterface
public interface WeightStore {

	/**
	 * Has a rank load one expert.
	 * @param layer the expert's layer
	 * @param expert the expert
	 * @param whenLoaded told when it is there; never if the store fails
	 */
	void load(int layer, int expert, Runnable whenLoaded);

}
