package org.snowwind.decide.choice;

import java.util.List;
import java.util.Optional;

/**
 * Chooses each server in turn. This is the baseline for comparison.
 */
public final class RoundRobin implements ServerChooser {

	private int next;

	@Override
	public Optional<ServerView> choose(List<ServerView> candidates, long affinityHash) {
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		this.next = (this.next + 1) % candidates.size();
		return Optional.of(candidates.get(this.next));
	}

}
