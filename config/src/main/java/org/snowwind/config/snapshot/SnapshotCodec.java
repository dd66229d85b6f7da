package org.snowwind.config.snapshot;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ResourceSpec;
import org.snowwind.model.resource.StoredResource;

/**
 * Turns resources into the platform's JSON and back.
 */
public final class SnapshotCodec {

	private SnapshotCodec() {
	}

	/**
	 * Encodes a resource as the platform keeps it.
	 * @param resource the resource
	 * @param writeId tells this write apart from any other
	 * @return its stored form
	 */
	public static StoredResource encode(Resource resource, String writeId) {
		JsonNode spec = Json.MAPPER.valueToTree(resource.spec());
		return new StoredResource(resource.key().kind().title(), resource.key().name(), resource.generation(), writeId,
				spec);
	}

	/**
	 * Decodes a resource.
	 * @param value the platform's value
	 * @param revision the revision of its last change
	 * @return the resource
	 * @throws JsonProcessingException if the value is not a resource
	 */
	public static Resource decode(JsonNode value, EraRevision revision) throws JsonProcessingException {
		StoredResource stored = Json.MAPPER.treeToValue(value, StoredResource.class);
		ResourceKind kind = ResourceKind.parse(String.valueOf(stored.kind()))
			.orElseThrow(() -> new UnreadableResource("unknown kind " + stored.kind()));
		ResourceSpec spec = Json.MAPPER.treeToValue(stored.spec(), kind.specType());
		if (spec == null || stored.name() == null) {
			throw new UnreadableResource("a resource needs kind, name and spec");
		}
		return new Resource(new ResourceKey(kind, stored.name()), stored.generation(), revision, spec);
	}

	/**
	 * Encodes what a process must learn to come to a snapshot.
	 * @param snapshot the snapshot
	 * @param haveRevision the revision that the process has; {@link EraRevision#NONE} for
	 * none
	 * @param removals resources removed since that revision, {@code null} if that is not
	 * known, so that the whole is sent
	 * @return the JSON text
	 */
	public static byte[] encode(Snapshot snapshot, EraRevision haveRevision, List<ResourceKey> removals) {
		boolean whole = removals == null || haveRevision.isNone();
		EraRevision base = whole ? EraRevision.NONE : haveRevision;
		List<RemovedKey> removed = whole ? List.of()
				: removals.stream().map((key) -> new RemovedKey(key.kind().title(), key.name())).toList();
		Document document = new Document(snapshot.revision(), base, entriesOf(snapshot.resources(), base),
				entriesOf(snapshot.pending(), EraRevision.NONE), removed);
		try {
			return Json.MAPPER.writeValueAsBytes(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("resources always serialize", ex);
		}
	}

	private static List<Entry> entriesOf(ResourceSet resources, EraRevision afterRevision) {
		return resources.all()
			.stream()
			.filter((resource) -> resource.revision().isNewerThan(afterRevision))
			.map((resource) -> new Entry(resource.revision(), Json.MAPPER.valueToTree(encode(resource, null))))
			.toList();
	}

	/**
	 * Decodes what another process encoded.
	 * @param bytes the JSON text
	 * @param last the snapshot in force here, to which changes are applied
	 * @return the snapshot, without the findings about what is pending; the last one if
	 * the changes start from a revision that is not here yet
	 * @throws IOException if the bytes are not a snapshot
	 */
	public static Snapshot decode(byte[] bytes, Snapshot last) throws IOException {
		Document document = Json.MAPPER.readValue(bytes, Document.class);
		if (document.base().isNewerThan(last.revision())) {
			return last;
		}
		ResourceSet resources = document.base().isNone() ? ResourceSet.EMPTY : last.resources();
		for (RemovedKey removed : document.removed()) {
			ResourceKind kind = ResourceKind.parse(removed.kind())
				.orElseThrow(() -> new UnreadableResource("unknown kind " + removed.kind()));
			resources = resources.without(new ResourceKey(kind, removed.name()));
		}
		List<Resource> all = new ArrayList<>(resources.all());
		all.addAll(resourcesOf(document.resources()).all());
		return new Snapshot(document.revision(), ResourceSet.of(all), resourcesOf(document.pending()),
				java.util.Map.of());
	}

	private static ResourceSet resourcesOf(List<Entry> entries) throws JsonProcessingException {
		List<Resource> resources = new ArrayList<>();
		for (Entry entry : entries) {
			resources.add(decode(entry.value(), entry.revision()));
		}
		return ResourceSet.of(resources);
	}

	private record Document(EraRevision revision, EraRevision base, List<Entry> resources, List<Entry> pending,
			List<RemovedKey> removed) {
	}

	private record RemovedKey(String kind, String name) {
	}

	private record Entry(EraRevision revision, JsonNode value) {
	}

	/**
	 * A value that is JSON but not a resource.
	 */
	private static final class UnreadableResource extends JsonProcessingException {

		private static final long serialVersionUID = 1L;

		private UnreadableResource(String message) {
			super(message);
		}

	}

}
