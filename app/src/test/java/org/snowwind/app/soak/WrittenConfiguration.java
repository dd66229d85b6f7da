package org.snowwind.app.soak;

import java.util.Set;

/**
 * A configuration that the soak has written.
 *
 * @param version its version
 * @param key the key that no other version allows
 * @param keys all keys that it allows; without {@code key} if no organisation has a key
 * @param movingTo the service of the route that moves
 * @param writtenNanos when it was written; the store in memory acknowledges at once
 */
record WrittenConfiguration(long version, String key, Set<String> keys, String movingTo, long writtenNanos) {

	boolean allowsKey(String sent) {
		return sent != null && this.keys.contains(sent);
	}

}
