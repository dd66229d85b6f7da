package org.snowwind.store;

import java.util.List;
import java.util.function.Function;

import org.snowwind.model.EraRevision;

/**
 * The result of a listing.
 */
public sealed interface ListResult permits ListResult.Listed, ListResult.Away {

	/**
	 * Calls the handler of this case.
	 * @param <R> the type of the result
	 * @param onListed handles a listing
	 * @param onAway handles an unavailable store
	 * @return the result of the handler
	 */
	<R> R match(Function<Listed, R> onListed, Function<Away, R> onAway);

	/**
	 * All objects at a revision.
	 *
	 * @param revision the revision
	 * @param objects the objects
	 */
	record Listed(EraRevision revision, List<StoredObject> objects) implements ListResult {

		@Override
		public <R> R match(Function<Listed, R> onListed, Function<Away, R> onAway) {
			return onListed.apply(this);
		}

	}

	/**
	 * The store did not answer.
	 *
	 * @param reason the reason, one line
	 */
	record Away(String reason) implements ListResult {

		@Override
		public <R> R match(Function<Listed, R> onListed, Function<Away, R> onAway) {
			return onAway.apply(this);
		}

	}

}
