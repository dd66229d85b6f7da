package org.snowwind.entry.api;

import java.util.List;

/**
 * What became of one resource of a change.
 *
 * @param kind the kind's title
 * @param name the name
 * @param result what became of it
 * @param revision the revision of the resource, 0 if it was not written
 * @param messages findings and remedies
 * @param changedFields the fields of the specification that differ from what stood there
 */
public record ApplyResult(String kind, String name, Result result, long revision, List<String> messages,
		List<String> changedFields) {

	/**
	 * Copies the lists.
	 */
	public ApplyResult {
		messages = List.copyOf(messages);
		changedFields = List.copyOf(changedFields);
	}

	/**
	 * What can become of a resource.
	 */
	public enum Result {

		/** It is new. */
		CREATED,

		/** It was changed. */
		UPDATED,

		/** It was so already. */
		UNCHANGED,

		/** It was taken away. */
		DELETED,

		/** It is not valid. */
		INVALID,

		/** Somebody else changed it meanwhile. */
		CONFLICT,

		/** It was not written because another resource of the change was refused. */
		SKIPPED,

		/** The platform is away; nothing was written. */
		NOT_WRITTEN,

		/** The platform's answer was lost and cannot be settled. */
		UNCERTAIN

	}

}
