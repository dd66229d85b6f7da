package org.snowwind.app.soak;

/**
 * A configuration that the soak has written.
 *
 * @param version its version
 * @param key the key that no other version allows
 * @param movingTo the service of the route that moves
 * @param writtenNanos when it was written; the store in memory acknowledges at once
 */
record WrittenConfiguration(long version, String key, String movingTo, long writtenNanos) {

	boolean allowsKey(String sent) {
		return sent.equals(SoakWorld.KEY) || sent.equals(this.key);
	}

}
