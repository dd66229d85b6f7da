package org.snowwind.store;

import java.util.function.Function;

import org.snowwind.model.EraRevision;

/**
 * The result of a conditional write.
 */
public sealed interface WriteResult
		permits WriteResult.Written, WriteResult.Conflict, WriteResult.NotWritten, WriteResult.Uncertain {

	/**
	 * Calls the handler of this case.
	 * @param <R> the type of the result
	 * @param cases a handler for each case
	 * @return the result of the handler
	 */
	<R> R match(Cases<R> cases);

	/**
	 * A handler for each case.
	 *
	 * @param <R> the type of the result
	 * @param onWritten gets the new revision
	 * @param onConflict gets the current revision, {@link EraRevision#NONE} if the object
	 * does not exist
	 * @param onNotWritten gets the reason
	 * @param onUncertain gets the reason
	 */
	record Cases<R>(Function<EraRevision, R> onWritten, Function<EraRevision, R> onConflict,
			Function<String, R> onNotWritten, Function<String, R> onUncertain) {

	}

	/**
	 * The write has taken effect.
	 *
	 * @param revision the new revision
	 */
	record Written(EraRevision revision) implements WriteResult {

		@Override
		public <R> R match(Cases<R> cases) {
			return cases.onWritten().apply(this.revision);
		}

	}

	/**
	 * The object was changed by another writer; the write had no effect.
	 *
	 * @param actualRevision the current revision, {@link EraRevision#NONE} if the object
	 * does not exist
	 */
	record Conflict(EraRevision actualRevision) implements WriteResult {

		@Override
		public <R> R match(Cases<R> cases) {
			return cases.onConflict().apply(this.actualRevision);
		}

	}

	/**
	 * The store rejected the write, which had no effect.
	 *
	 * @param reason the reason, one line
	 */
	record NotWritten(String reason) implements WriteResult {

		@Override
		public <R> R match(Cases<R> cases) {
			return cases.onNotWritten().apply(this.reason);
		}

	}

	/**
	 * The store did not answer; the write may have taken effect or may still do so.
	 *
	 * @param reason the reason, one line
	 */
	record Uncertain(String reason) implements WriteResult {

		@Override
		public <R> R match(Cases<R> cases) {
			return cases.onUncertain().apply(this.reason);
		}

	}

}
