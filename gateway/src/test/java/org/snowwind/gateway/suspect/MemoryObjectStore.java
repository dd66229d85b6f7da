package org.snowwind.gateway.suspect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.model.EraRevision;
import org.snowwind.store.GetResult;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;
import org.snowwind.store.WriteResult;

/**
 * A store in memory.
 */
final class MemoryObjectStore implements ObjectStore {

	final Map<String, StoredObject> objects = new HashMap<>();

	private final List<StoredObject> changed = new ArrayList<>();

	private long revision;

	int writes;

	boolean away;

	EraRevision revision() {
		return EraRevision.ofLong(this.revision);
	}

	List<StoredObject> all() {
		return new ArrayList<>(this.objects.values());
	}

	@Override
	public ListResult list(String prefix) {
		throw new UnsupportedOperationException("listings are handed over");
	}

	@Override
	public WriteResult put(String key, EraRevision expectedRevision, JsonNode value) {
		if (this.away) {
			return new WriteResult.Uncertain("away");
		}
		StoredObject standing = this.objects.get(key);
		EraRevision actual = (standing != null) ? standing.revision() : EraRevision.NONE;
		if (!expectedRevision.equals(actual)) {
			return new WriteResult.Conflict(actual);
		}
		this.writes++;
		overwrite(key, value);
		return new WriteResult.Written(EraRevision.ofLong(this.revision));
	}

	List<StoredObject> takeChanged() {
		List<StoredObject> taken = List.copyOf(this.changed);
		this.changed.clear();
		return taken;
	}

	void overwrite(String key, JsonNode value) {
		this.objects.put(key, new StoredObject(key, EraRevision.ofLong(++this.revision), value));
		this.changed.add(this.objects.get(key));
	}

	@Override
	public WriteResult delete(String key, EraRevision expectedRevision) {
		this.objects.remove(key);
		return new WriteResult.Written(EraRevision.ofLong(++this.revision));
	}

	@Override
	public GetResult get(String key) {
		if (this.away) {
			return new GetResult.Away("away");
		}
		StoredObject found = this.objects.get(key);
		return (found != null) ? new GetResult.Found(found) : new GetResult.Absent();
	}

	@Override
	public WatchResult watch(String prefix, EraRevision afterRevision, long waitMillis) {
		throw new UnsupportedOperationException("changes are handed over");
	}

}
