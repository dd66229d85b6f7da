package org.snowwind.decide.choice;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Ranks items by rendezvous hashing. All processes that know the same items rank them in
 * the same order, and adding or removing an item does not change the order of the others.
 */
public final class RendezvousHashing {

	private RendezvousHashing() {
	}

	/**
	 * Returns the highest-ranked items for a seed.
	 * @param <T> the type of an item
	 * @param items the items
	 * @param nameOf returns the name by which an item is ranked
	 * @param seed the key for which the items are ranked
	 * @param count the maximum number of items
	 * @return at most {@code count} items, best first
	 */
	public static <T> List<T> highestRanked(List<T> items, Function<T, String> nameOf, String seed, int count) {
		long seedHash = hash(seed);
		Comparator<T> byScore = (left, right) -> Long.compareUnsigned(score(nameOf.apply(right), seedHash),
				score(nameOf.apply(left), seedHash));
		return items.stream().sorted(byScore.thenComparing(nameOf)).limit(count).toList();
	}

	/**
	 * Returns the score of a name. A higher score is better.
	 * @param name the name
	 * @param seedHash the hash of the key for which names are ranked
	 * @return the score, unsigned
	 */
	public static long score(String name, long seedHash) {
		return hash(name + '#' + Long.toHexString(seedHash));
	}

	/**
	 * Returns a hash of a text that is the same in every process.
	 * @param text the text
	 * @return the hash
	 */
	public static long hash(String text) {
		return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
	}

}
