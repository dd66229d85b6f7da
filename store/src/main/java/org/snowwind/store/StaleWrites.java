package org.snowwind.store;

import org.snowwind.model.EraRevision;

/**
 * Decides the results of conditional writes whose expected revision is of an earlier era
 * than the store. The store compares only the numbers, which it has given out again.
 */
public final class StaleWrites {

	private StaleWrites() {
	}

	/**
	 * Returns whether a write must not be sent.
	 * @param expected the expected revision of the object
	 * @param era the era of the store
	 * @return true if the revision is known to be of an earlier era
	 */
	public static boolean isStale(EraRevision expected, StoreEra era) {
		return !expected.isNone() && expected.era() < era.newest();
	}

	/**
	 * Returns the result of a write that was not sent.
	 * @param current the object
	 * @return a conflict with the current revision
	 */
	public static WriteResult conflict(GetResult current) {
		return current.match((object) -> new WriteResult.Conflict(object.revision()),
				() -> new WriteResult.Conflict(EraRevision.NONE), WriteResult.NotWritten::new);
	}

	/**
	 * Returns the result of a write that the store rejected.
	 * @param current the revision in the response, with number 0 if there is no object
	 * @return a conflict with the current revision
	 */
	public static WriteResult conflict(EraRevision current) {
		return new WriteResult.Conflict((current.number() == 0) ? EraRevision.NONE : current);
	}

	/**
	 * Returns the result of a write that the store carried out.
	 * @param expected the expected revision of the object
	 * @param revision the revision in the response
	 * @return uncertain if the era has changed since the expected revision, because the
	 * write may have replaced another value than the expected one
	 */
	public static WriteResult written(EraRevision expected, EraRevision revision) {
		boolean sameEra = expected.isNone() || expected.era() == revision.era();
		return sameEra ? new WriteResult.Written(revision)
				: new WriteResult.Uncertain("the store was restored from an older copy during the write");
	}

}
