package org.snowwind.store;

import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The result of reading one object.
 */
public sealed interface GetResult permits GetResult.Found, GetResult.Absent, GetResult.Away {

	/**
	 * Calls the handler of this case.
	 * @param <R> the type of the result
	 * @param onFound handles an object
	 * @param onAbsent handles a missing object
	 * @param onAway handles an unavailable store
	 * @return the result of the handler
	 */
	<R> R match(Function<StoredObject, R> onFound, Supplier<R> onAbsent, Function<String, R> onAway);

	/**
	 * The object exists.
	 *
	 * @param object the object
	 */
	record Found(StoredObject object) implements GetResult {

		@Override
		public <R> R match(Function<StoredObject, R> onFound, Supplier<R> onAbsent, Function<String, R> onAway) {
			return onFound.apply(this.object);
		}

	}

	/**
	 * The object does not exist.
	 */
	record Absent() implements GetResult {

		@Override
		public <R> R match(Function<StoredObject, R> onFound, Supplier<R> onAbsent, Function<String, R> onAway) {
			return onAbsent.get();
		}

	}

	/**
	 * The store did not answer.
	 *
	 * @param reason the reason, one line
	 */
	record Away(String reason) implements GetResult {

		@Override
		public <R> R match(Function<StoredObject, R> onFound, Supplier<R> onAbsent, Function<String, R> onAway) {
			return onAway.apply(this.reason);
		}

	}

}
