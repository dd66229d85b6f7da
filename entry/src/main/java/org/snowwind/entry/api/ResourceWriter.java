package org.snowwind.entry.api;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.config.check.ResourceChecks;
import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.config.snapshot.SnapshotCodec;
import org.snowwind.entry.api.ApplyResult.Result;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.StoredResource;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.VerifiedWrites;
import org.snowwind.store.WriteResult;

/**
 * Checks changes as a whole and writes them one by one, each on condition that nobody
 * else changed the resource meanwhile.
 *
 * <p>
 * Resources that others refer to are written first and deleted only when nothing refers
 * to them, so that nobody ever sees a dangling reference.
 */
public final class ResourceWriter {

	/** The order in which kinds are written: what is referred to comes first. */
	private static final List<ResourceKind> WRITE_ORDER = List.of(ResourceKind.SERVICE, ResourceKind.EXPERT_MAP,
			ResourceKind.MODEL_GROUP, ResourceKind.ORGANISATION, ResourceKind.ROUTING_POLICY,
			ResourceKind.BACKEND_SERVER);

	private final ObjectStore store;

	private final VerifiedWrites writes;

	private final ResourceChecks checks;

	private final ConfigHolder config;

	/**
	 * Creates the writer.
	 * @param store the platform
	 * @param writes settles writes whose answer is lost
	 * @param checks decide what is valid
	 * @param config holds the configuration in force
	 */
	public ResourceWriter(ObjectStore store, VerifiedWrites writes, ResourceChecks checks, ConfigHolder config) {
		this.store = store;
		this.writes = writes;
		this.checks = checks;
		this.config = config;
	}

	/**
	 * Applies a change of several resources.
	 * @param resources an array of objects with kind, name, spec, and optionally the
	 * revision that the operator saw
	 * @param dryRun whether only to say what would happen
	 * @return what became of each
	 */
	public List<ApplyResult> apply(JsonNode resources, boolean dryRun) {
		List<ApplyResult> refused = new ArrayList<>();
		List<Wanted> wanted = new ArrayList<>();
		resources.forEach((node) -> parse(node, wanted, refused));
		wanted.sort(Comparator.comparingInt((item) -> WRITE_ORDER.indexOf(item.key().kind())));
		Map<ResourceKey, List<Finding>> errors = check(wanted);
		if (errors.isEmpty() && refused.isEmpty()) {
			return wanted.stream().map((item) -> write(item, dryRun)).toList();
		}
		List<ApplyResult> results = new ArrayList<>(refused);
		for (Wanted item : wanted) {
			List<Finding> findings = errors.getOrDefault(item.key(), List.of());
			Result result = findings.isEmpty() ? Result.SKIPPED : Result.INVALID;
			results.add(result(item.key(), result, 0, findings.stream().map(Finding::toString).toList(), Set.of()));
		}
		return results;
	}

	private static void parse(JsonNode node, List<Wanted> wanted, List<ApplyResult> refused) {
		String kindText = node.path("kind").asText();
		String name = node.path("name").asText();
		ResourceKind kind = ResourceKind.parse(kindText).orElse(null);
		if (kind == null) {
			refused.add(new ApplyResult(kindText, name, Result.INVALID, 0,
					List.of("unknown kind; use one of " + kindTitles()), List.of()));
			return;
		}
		ResourceKey key = new ResourceKey(kind, name);
		try {
			StoredResource stored = new StoredResource(kind.title(), name, 0, null, node.path("spec"));
			Resource resource = SnapshotCodec.decode(Json.MAPPER.valueToTree(stored),
					EraRevision.ofLong(Long.MAX_VALUE));
			wanted.add(new Wanted(key, resource, node.path("revision").asLong(-1)));
		}
		catch (JsonProcessingException ex) {
			refused.add(result(key, Result.INVALID, 0, List.of("spec: " + ex.getOriginalMessage()), Set.of()));
		}
	}

	private static String kindTitles() {
		return String.join(", ", WRITE_ORDER.stream().map(ResourceKind::title).toList());
	}

	private Map<ResourceKey, List<Finding>> check(List<Wanted> wanted) {
		ResourceSet all = this.config.current().resources();
		for (Wanted item : wanted) {
			all = all.with(item.resource());
		}
		Map<ResourceKey, List<Finding>> errors = new LinkedHashMap<>();
		for (Wanted item : wanted) {
			List<Finding> blocking = this.checks.check(item.resource(), all).stream().filter(Finding::blocks).toList();
			if (!blocking.isEmpty()) {
				errors.put(item.key(), blocking);
			}
		}
		return errors;
	}

	private ApplyResult write(Wanted item, boolean dryRun) {
		return this.store.get(item.key().storeKey()).match((object) -> {
			JsonNode before = object.value().path("spec");
			long generation = object.value().path("generation").asLong();
			return change(item, object.revision(), generation, before, dryRun);
		}, () -> change(item, EraRevision.NONE, 0, Json.MAPPER.missingNode(), dryRun), (reason) -> result(item.key(),
				Result.NOT_WRITTEN, 0, List.of("the platform is away: " + reason), Set.of()));
	}

	private ApplyResult change(Wanted item, EraRevision standingRevision, long generation, JsonNode before,
			boolean dryRun) {
		boolean seenAnother = item.seenRevision() >= 0 && item.seenRevision() != standingRevision.toLong();
		if (seenAnother) {
			return conflict(item.key(), standingRevision);
		}
		JsonNode after = Json.MAPPER.valueToTree(item.resource().spec());
		Set<String> changed = changedFields(before, after);
		Result result = standingRevision.isNone() ? Result.CREATED : Result.UPDATED;
		if (!standingRevision.isNone() && changed.isEmpty()) {
			return result(item.key(), Result.UNCHANGED, standingRevision.toLong(), List.of(), changed);
		}
		if (dryRun) {
			return result(item.key(), result, standingRevision.toLong(), List.of("dry run: nothing was written"),
					changed);
		}
		Resource next = new Resource(item.key(), generation + 1, EraRevision.NONE, item.resource().spec());
		JsonNode value = Json.MAPPER.valueToTree(SnapshotCodec.encode(next, UUID.randomUUID().toString()));
		WriteResult written = this.writes.write(item.key().storeKey(), standingRevision, value);
		return outcome(item.key(), written, result, changed);
	}

	/**
	 * Deletes a resource that nothing refers to.
	 * @param key the resource
	 * @return what became of it
	 */
	public ApplyResult delete(ResourceKey key) {
		List<String> dangling = danglingWithout(key);
		if (!dangling.isEmpty()) {
			return result(key, Result.INVALID, 0, dangling, Set.of());
		}
		return this.store.get(key.storeKey())
			.match((object) -> outcome(key, this.writes.write(key.storeKey(), object.revision(), null), Result.DELETED,
					Set.of()), () -> result(key, Result.UNCHANGED, 0, List.of("there is no such resource"), Set.of()),
					(reason) -> result(key, Result.NOT_WRITTEN, 0, List.of("the platform is away: " + reason),
							Set.of()));
	}

	private List<String> danglingWithout(ResourceKey key) {
		ResourceSet before = this.config.current().resources();
		Set<String> known = new TreeSet<>();
		this.checks.check(before).forEach((finding) -> known.add(finding.toString()));
		return this.checks.check(before.without(key))
			.stream()
			.filter(Finding::blocks)
			.map(Finding::toString)
			.filter((finding) -> !known.contains(finding))
			.toList();
	}

	private static ApplyResult outcome(ResourceKey key, WriteResult written, Result success, Set<String> changed) {
		return written
			.match(new WriteResult.Cases<>((revision) -> result(key, success, revision.toLong(), List.of(), changed),
					(revision) -> conflict(key, revision),
					(reason) -> result(key, Result.NOT_WRITTEN, 0, List.of(reason), Set.of()),
					(reason) -> result(key, Result.UNCERTAIN, 0,
							List.of(reason + "; read the resource and apply again if the change is not there"),
							Set.of())));
	}

	private static ApplyResult conflict(ResourceKey key, EraRevision standingRevision) {
		return result(key, Result.CONFLICT, standingRevision.toLong(),
				List.of("revision " + standingRevision.toLong() + " stands there; read it, merge, and apply again"),
				Set.of());
	}

	private static Set<String> changedFields(JsonNode before, JsonNode after) {
		Set<String> changed = new TreeSet<>();
		after.properties().forEach((field) -> {
			if (!field.getValue().equals(before.get(field.getKey()))) {
				changed.add(field.getKey());
			}
		});
		before.fieldNames().forEachRemaining((name) -> {
			if (!after.has(name)) {
				changed.add(name);
			}
		});
		return changed;
	}

	private static ApplyResult result(ResourceKey key, Result result, long revision, List<String> messages,
			Set<String> changed) {
		return new ApplyResult(key.kind().title(), key.name(), result, revision, messages, List.copyOf(changed));
	}

	private record Wanted(ResourceKey key, Resource resource, long seenRevision) {
	}

}
