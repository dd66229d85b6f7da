package org.snowwind.decide.choice;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the less loaded of two random servers (power of two choices).
 */
public final class TwoChoices implements ServerChooser {

	private final RandomGenerator random;

	/**
	 * Creates the chooser.
	 * @param random the source of randomness
	 */
	public TwoChoices(RandomGenerator random) {
		this.random = random;
	}

	@Override
	public Optional<ServerView> choose(List<ServerView> candidates, long affinityHash) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		ServerView first = candidates.get(this.random.nextInt(candidates.size()));
		ServerView second = candidates.get(this.random.nextInt(candidates.size()));
		return Optional.of((second.loadRatio() < first.loadRatio()) ? second : first);
	}

}
