package org.snowwind.store;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.model.EraRevision;

/**
 * An object of the platform's store.
 *
 * @param key its key
 * @param revision the revision of its last change
 * @param value its value; {@code null} if that change deleted it
 */
public record StoredObject(String key, EraRevision revision, JsonNode value) {

	/**
	 * Returns whether the object was deleted.
	 * @return true if its last change deleted it
	 */
	public boolean deleted() {
		return this.value == null || this.value.isNull();
	}

}
