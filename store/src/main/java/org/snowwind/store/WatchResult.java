package org.snowwind.store;

import java.util.List;
import java.util.function.Function;

import org.snowwind.model.EraRevision;

/**
 * The result of waiting for changes.
 */
public sealed interface WatchResult permits WatchResult.Changes, WatchResult.Gap, WatchResult.Away {

	/**
	 * Calls the handler of this case.
	 * @param <R> the type of the result
	 * @param onChanges handles changes
	 * @param onGap handles lost changes
	 * @param onAway handles an unavailable store
	 * @return the result of the handler
	 */
	<R> R match(Function<Changes, R> onChanges, Function<Gap, R> onGap, Function<Away, R> onAway);

	/**
	 * The changes in order; empty if there was none during the wait.
	 *
	 * @param objects the changed objects
	 * @param revision the store's revision up to which the changes are complete
	 */
	record Changes(List<StoredObject> objects, EraRevision revision) implements WatchResult {

		@Override
		public <R> R match(Function<Changes, R> onChanges, Function<Gap, R> onGap, Function<Away, R> onAway) {
			return onChanges.apply(this);
		}

	}

	/**
	 * The store no longer has all changes since the given revision, or was restored from
	 * an older copy, so all objects must be listed again.
	 */
	record Gap() implements WatchResult {

		@Override
		public <R> R match(Function<Changes, R> onChanges, Function<Gap, R> onGap, Function<Away, R> onAway) {
			return onGap.apply(this);
		}

	}

	/**
	 * The store did not answer.
	 *
	 * @param reason the reason, one line
	 */
	record Away(String reason) implements WatchResult {

		@Override
		public <R> R match(Function<Changes, R> onChanges, Function<Gap, R> onGap, Function<Away, R> onAway) {
			return onAway.apply(this);
		}

	}

}
