package org.snowwind.store;

import java.util.List;
import java.util.function.Function;

/**
 * The result of waiting for changes.
 */
public sealed interface WatchResult permits WatchResult.Changes, WatchResult.Gap, WatchResult.Away {

	/**
	 * Handles each case.
	 * @param <R> the type of what comes out
	 * @param onChanges handles changes
	 * @param onGap handles lost changes
	 * @param onAway handles no answer
	 * @return what the handler returns
	 */
	<R> R match(Function<Changes, R> onChanges, Function<Gap, R> onGap, Function<Away, R> onAway);

	/**
	 * Changes in the order in which they were made; none if the wait ended without.
	 *
	 * @param objects the changed objects
	 * @param revision the store's revision up to which changes are known
	 */
	record Changes(List<StoredObject> objects, long revision) implements WatchResult {

		@Override
		public <R> R match(Function<Changes, R> onChanges, Function<Gap, R> onGap, Function<Away, R> onAway) {
			return onChanges.apply(this);
		}

	}

	/**
	 * The platform no longer has all changes; everything must be listed again.
	 */
	record Gap() implements WatchResult {

		@Override
		public <R> R match(Function<Changes, R> onChanges, Function<Gap, R> onGap, Function<Away, R> onAway) {
			return onGap.apply(this);
		}

	}

	/**
	 * No answer.
	 *
	 * @param reason why, one line
	 */
	record Away(String reason) implements WatchResult {

		@Override
		public <R> R match(Function<Changes, R> onChanges, Function<Gap, R> onGap, Function<Away, R> onAway) {
			return onAway.apply(this);
		}

	}

}
