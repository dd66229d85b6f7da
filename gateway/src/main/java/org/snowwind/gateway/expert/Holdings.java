package org.snowwind.gateway.expert;

import java.util.ArrayList;
import java.util.List;

import org.snowwind.balance.plan.ExpertPlacement;
import org.snowwind.gateway.table.EngineProfile;

/**
 * Converts between placements and the experts of each rank.
 */
final class Holdings {

	private Holdings() {
	}

	/**
	 * Converts the experts of ranks to a placement.
	 * @param byRank the experts by rank and set
	 * @param profile the performance of the engines
	 * @return the placement
	 */
	static ExpertPlacement placementOf(List<List<List<Integer>>> byRank, EngineProfile profile) {
		List<List<List<Integer>>> ranksOf = new ArrayList<>();
		for (int set = 0; set < profile.expertSets(); set++) {
			List<List<Integer>> ofSet = new ArrayList<>();
			for (int expert = 0; expert < profile.experts(); expert++) {
				ofSet.add(new ArrayList<>());
			}
			for (int rank = 0; rank < byRank.size(); rank++) {
				for (int expert : byRank.get(rank).get(set)) {
					ofSet.get(expert).add(rank);
				}
			}
			ranksOf.add(ofSet.stream().map(List::copyOf).toList());
		}
		return new ExpertPlacement(byRank.size(), profile.placesPerRank(), ranksOf);
	}

	/**
	 * Converts a placement to the experts of ranks.
	 * @param placement the placement
	 * @return the experts by set and rank
	 */
	static List<List<List<Integer>>> bySetAndRank(ExpertPlacement placement) {
		List<List<List<Integer>>> sets = new ArrayList<>();
		for (List<List<Integer>> ranksOf : placement.ranksOf()) {
			List<List<Integer>> ofSet = new ArrayList<>();
			for (int rank = 0; rank < placement.ranks(); rank++) {
				List<Integer> experts = new ArrayList<>();
				for (int expert = 0; expert < ranksOf.size(); expert++) {
					if (ranksOf.get(expert).contains(rank)) {
						experts.add(expert);
					}
				}
				ofSet.add(experts);
			}
			sets.add(ofSet);
		}
		return sets;
	}

	/**
	 * Combines the experts of ranks to a map that needs few copies. An expert that no
	 * rank holds replaces one that several ranks hold if no rank has a free place.
	 * @param byRank the experts by rank and set, which may belong to different maps
	 * @param profile the performance of the engines
	 * @return the experts by set and rank, each expert on at least one rank
	 */
	static List<List<List<Integer>>> combined(List<List<List<Integer>>> byRank, EngineProfile profile) {
		List<List<List<Integer>>> sets = new ArrayList<>();
		for (int set = 0; set < profile.expertSets(); set++) {
			List<List<Integer>> ofSet = new ArrayList<>();
			for (List<List<Integer>> ofRank : byRank) {
				ofSet.add(new ArrayList<>(ofRank.get(set)));
			}
			int[] added = new int[ofSet.size()];
			for (int expert = 0; expert < profile.experts(); expert++) {
				if (holders(ofSet, expert) == 0) {
					add(ofSet, added, expert, profile.placesPerRank());
				}
			}
			sets.add(ofSet);
		}
		return sets;
	}

	private static long holders(List<List<Integer>> ofSet, int expert) {
		return ofSet.stream().filter((experts) -> experts.contains(expert)).count();
	}

	private static void add(List<List<Integer>> ofSet, int[] added, int expert, int places) {
		int chosen = -1;
		for (int rank = 0; rank < added.length; rank++) {
			boolean room = ofSet.get(rank).size() < places
					|| ofSet.get(rank).stream().anyMatch((held) -> holders(ofSet, held) > 1);
			if (room && (chosen < 0 || added[rank] < added[chosen])) {
				chosen = rank;
			}
		}
		if (chosen < 0) {
			throw new IllegalArgumentException("no place for expert " + expert);
		}
		List<Integer> experts = ofSet.get(chosen);
		if (experts.size() >= places) {
			experts.stream().filter((held) -> holders(ofSet, held) > 1).findFirst().ifPresent(experts::remove);
		}
		experts.add(expert);
		added[chosen]++;
	}

	/**
	 * Counts the copies of the rank with the most copies.
	 * @param before the placement in force
	 * @param after the next placement
	 * @return the number of experts that are new to that rank
	 */
	static int mostCopies(ExpertPlacement before, ExpertPlacement after) {
		int[] copies = new int[after.ranks()];
		for (int set = 0; set < after.ranksOf().size(); set++) {
			for (int expert = 0; expert < after.ranksOf().get(set).size(); expert++) {
				List<Integer> held = before.ranksOf().get(set).get(expert);
				for (int rank : after.ranksOf().get(set).get(expert)) {
					copies[rank] += held.contains(rank) ? 0 : 1;
				}
			}
		}
		int most = 0;
		for (int count : copies) {
			most = Math.max(most, count);
		}
		return most;
	}

}
