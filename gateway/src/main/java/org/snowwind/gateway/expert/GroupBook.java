package org.snowwind.gateway.expert;

import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WriteResult;

/**
 * The group of each server, which one gateway writes to the store for all others.
 *
 * <p>
 * The value is an object of groups, each an object of server ids with the start time of
 * the server. Unreadable entries are ignored.
 */
final class GroupBook {

	private static final String KEY = "groups/members";

	private final ObjectStore store;

	/**
	 * Creates a book.
	 * @param store the platform's store
	 */
	GroupBook(ObjectStore store) {
		this.store = store;
	}

	/**
	 * Reads a copy of the book that may be seconds old.
	 * @return the group of each server, empty if the store does not answer
	 */
	Map<BackendIncarnation, String> read() {
		return this.store.getStale(KEY)
			.match((object) -> membersOf(object.value()), Map::<BackendIncarnation, String>of,
					(reason) -> Map.<BackendIncarnation, String>of());
	}

	private static Map<BackendIncarnation, String> membersOf(JsonNode value) {
		Map<BackendIncarnation, String> members = new HashMap<>();
		if (value != null) {
			value.properties()
				.forEach((group) -> group.getValue()
					.properties()
					.forEach((server) -> members
						.put(new BackendIncarnation(server.getKey(), server.getValue().asLong()), group.getKey())));
		}
		return members;
	}

	/**
	 * Writes the whole book unless another gateway has changed it.
	 * @param members the group of each server
	 * @return whether it was written
	 */
	boolean write(Map<BackendIncarnation, String> members) {
		EraRevision revision = this.store.get(KEY)
			.match(StoredObject::revision, () -> EraRevision.NONE, (reason) -> null);
		if (revision == null) {
			return false;
		}
		ObjectNode value = Json.MAPPER.createObjectNode();
		members.forEach((run, group) -> value.withObjectProperty(group).put(run.id(), run.bornMillis()));
		WriteResult result = this.store.put(KEY, revision, value);
		EventLog.log(Event.GROUPS_WRITTEN, "servers", members.size(), "groups", value.size(), "result", result);
		return result instanceof WriteResult.Written;
	}

}
