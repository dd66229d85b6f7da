package org.snowwind.config.snapshot;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.config.check.ResourceChecks;
import org.snowwind.model.EraRevision;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;

/**
 * Makes the next snapshot from the last one and what the platform says.
 *
 * <p>
 * A resource that is not valid is rejected, and its last good form stays in force.
 * Because one rejection can leave another resource dangling, checking goes on until
 * nothing more is rejected; each round rejects at least one, so it ends.
 */
public final class SnapshotBuilder {

	private static final String PREFIX = "resources/";

	private final ResourceChecks checks;

	/**
	 * Creates a builder.
	 * @param checks decide what is valid
	 */
	public SnapshotBuilder(ResourceChecks checks) {
		this.checks = checks;
	}

	/**
	 * Makes a snapshot from a whole listing. Resources of an earlier era of the store
	 * that it lacks, or has in an earlier generation, stay in force: a store that was
	 * restored from an older copy has lost their last change.
	 * @param last the snapshot in force
	 * @param revision the revision as of which the values are listed
	 * @param values the platform's values
	 * @return the next snapshot
	 */
	public Snapshot fromListing(Snapshot last, EraRevision revision, List<RawValue> values) {
		Map<ResourceKey, List<Finding>> rejected = new LinkedHashMap<>();
		Map<ResourceKey, Resource> candidates = new LinkedHashMap<>();
		values.forEach((value) -> admit(last, value, candidates, rejected));
		last.resources().all().forEach((resource) -> {
			Resource listed = candidates.get(resource.key());
			if (resource.revision().era() < revision.era() && isLost(resource, listed)) {
				candidates.put(resource.key(), resource);
			}
		});
		return settle(last, revision, candidates, rejected);
	}

	// Revisions up to that of the copy are the same in both eras, so that an object with
	// a higher one was written after the store was restored.
	private static boolean isLost(Resource resource, Resource listed) {
		return listed == null || (listed.generation() < resource.generation()
				&& listed.revision().number() < resource.revision().number());
	}

	/**
	 * Makes a snapshot from changes.
	 * @param last the snapshot in force
	 * @param changes the changed values in the platform's order
	 * @return the next snapshot; the last one if no change is news
	 */
	public Snapshot fromChanges(Snapshot last, List<RawValue> changes) {
		Map<ResourceKey, List<Finding>> rejected = new LinkedHashMap<>(last.rejected());
		Map<ResourceKey, Resource> candidates = new LinkedHashMap<>();
		last.resources().all().forEach((resource) -> candidates.put(resource.key(), resource));
		last.pending().all().forEach((resource) -> candidates.put(resource.key(), resource));
		last.pending().all().forEach((resource) -> rejected.remove(resource.key()));
		EraRevision revision = last.revision();
		for (RawValue change : changes) {
			if (!change.revision().isNewerThan(last.revision())) {
				continue;
			}
			revision = EraRevision.newest(revision, change.revision());
			admit(last, change, candidates, rejected);
		}
		return revision.equals(last.revision()) ? last : settle(last, revision, candidates, rejected);
	}

	private void admit(Snapshot last, RawValue value, Map<ResourceKey, Resource> candidates,
			Map<ResourceKey, List<Finding>> rejected) {
		ResourceKey key = keyOf(value.storeKey()).orElse(null);
		if (key == null) {
			return;
		}
		rejected.remove(key);
		if (value.json() == null || value.json().isNull()) {
			candidates.remove(key);
			return;
		}
		try {
			Resource resource = SnapshotCodec.decode(value.json(), value.revision());
			if (!resource.key().equals(key)) {
				reject(key, "kind and name differ from the object's key", rejected);
				keepLast(last, key, candidates);
				return;
			}
			candidates.put(key, resource);
		}
		catch (JsonProcessingException ex) {
			reject(key, ex.getOriginalMessage(), rejected);
			keepLast(last, key, candidates);
		}
	}

	private static void reject(ResourceKey key, String reason, Map<ResourceKey, List<Finding>> rejected) {
		Finding finding = Finding.of("ResourceIsReadable", Finding.Severity.ERROR, key)
			.field("spec")
			.because(reason)
			.remedy("apply the resource through snowwind, which checks it first");
		rejected.put(key, List.of(finding));
	}

	private Snapshot settle(Snapshot last, EraRevision revision, Map<ResourceKey, Resource> candidates,
			Map<ResourceKey, List<Finding>> rejected) {
		Map<ResourceKey, Resource> pending = new LinkedHashMap<>();
		while (true) {
			ResourceSet set = ResourceSet.of(candidates.values());
			Map<ResourceKey, List<Finding>> errors = errorsOfChanged(last, set);
			if (errors.isEmpty()) {
				return new Snapshot(revision, set, ResourceSet.of(pending.values()), rejected);
			}
			errors.forEach((key, findings) -> {
				rejected.putIfAbsent(key, List.copyOf(findings));
				pending.put(key, candidates.remove(key));
				keepLast(last, key, candidates);
			});
		}
	}

	// What is in force unchanged is never rejected on account of what came later.
	private Map<ResourceKey, List<Finding>> errorsOfChanged(Snapshot last, ResourceSet set) {
		Map<ResourceKey, List<Finding>> errors = new HashMap<>();
		for (Resource resource : set.all()) {
			boolean inForce = last.resources().contains(resource);
			List<Finding> blocking = this.checks.check(resource, set).stream().filter(Finding::blocks).toList();
			if (!inForce && !blocking.isEmpty()) {
				errors.put(resource.key(), blocking);
			}
		}
		return errors;
	}

	private static void keepLast(Snapshot last, ResourceKey key, Map<ResourceKey, Resource> candidates) {
		last.resources().find(key.kind(), key.name()).ifPresent((resource) -> candidates.put(key, resource));
	}

	/**
	 * Returns the resource that an object of the platform contains.
	 * @param storeKey the object's key
	 * @return the resource's key, empty if it is no key of a resource
	 */
	public static Optional<ResourceKey> keyOf(String storeKey) {
		String[] parts = storeKey.split("/");
		if (!storeKey.startsWith(PREFIX) || parts.length != 3) {
			return Optional.empty();
		}
		return ResourceKind.parse(parts[1]).map((kind) -> new ResourceKey(kind, parts[2]));
	}

	/**
	 * A value as the platform gives it.
	 *
	 * @param storeKey the platform's key
	 * @param revision the revision of its last change
	 * @param json the value; {@code null} if it was deleted
	 */
	public record RawValue(String storeKey, EraRevision revision, JsonNode json) {

	}

}
