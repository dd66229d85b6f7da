package org.snowwind.entry.api;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.entry.member.MembershipView;
import org.snowwind.model.Json;
import org.snowwind.model.resource.Condition;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ResourceView;
import org.snowwind.model.resource.ResourceView.DataCentreStatus;

/**
 * Shows resources with their status, out of what this entry knows.
 */
public final class StatusBoard {

	/** A data centre silent for longer counts as cut off. */
	private static final long CUT_OFF_MILLIS = 10_000;

	private final ConfigHolder config;

	private final Supplier<MembershipView> membership;

	/**
	 * Creates the board.
	 * @param config holds the configuration in force
	 * @param membership knows how far each data centre has come
	 */
	public StatusBoard(ConfigHolder config, Supplier<MembershipView> membership) {
		this.config = config;
		this.membership = membership;
	}

	/**
	 * Shows all resources of a kind.
	 * @param kind the kind
	 * @return the resources by name
	 */
	public List<ResourceView> list(ResourceKind kind) {
		Snapshot snapshot = this.config.current();
		Map<ResourceKey, Resource> shown = new LinkedHashMap<>();
		snapshot.resources().all().forEach((resource) -> shown.put(resource.key(), resource));
		snapshot.pending().all().forEach((resource) -> shown.putIfAbsent(resource.key(), resource));
		return shown.values()
			.stream()
			.filter((resource) -> resource.key().kind() == kind)
			.sorted((left, right) -> left.key().name().compareTo(right.key().name()))
			.map((resource) -> view(resource, snapshot))
			.toList();
	}

	/**
	 * Shows one resource.
	 * @param key its kind and name
	 * @return the resource, if it is declared
	 */
	public Optional<ResourceView> find(ResourceKey key) {
		Snapshot snapshot = this.config.current();
		return snapshot.resources()
			.find(key.kind(), key.name())
			.or(() -> snapshot.pending().find(key.kind(), key.name()))
			.map((resource) -> view(resource, snapshot));
	}

	private ResourceView view(Resource resource, Snapshot snapshot) {
		MembershipView members = this.membership.get();
		List<DataCentreStatus> dataCentres = members.dataCentres()
			.stream()
			.map((progress) -> new DataCentreStatus(progress.getDataCentre(), progress.getRevision(),
					progress.getAgeMillis(), progress.getWaitsFor()))
			.sorted((left, right) -> left.dataCentre().compareTo(right.dataCentre()))
			.toList();
		List<Condition> conditions = List.of(accepted(resource, snapshot), inForce(resource, snapshot, dataCentres),
				degraded(resource.key(), members, dataCentres));
		return new ResourceView(resource.key().kind().title(), resource.key().name(), resource.generation(),
				resource.revision().toLong(), Json.MAPPER.valueToTree(resource.spec()), conditions, dataCentres);
	}

	private static Condition accepted(Resource resource, Snapshot snapshot) {
		List<Finding> findings = snapshot.rejected().getOrDefault(resource.key(), List.of());
		if (findings.isEmpty() && snapshot.resources().contains(resource)) {
			return new Condition(Condition.Type.ACCEPTED, true, "generation " + resource.generation(), null);
		}
		if (findings.isEmpty()) {
			return new Condition(Condition.Type.ACCEPTED, false, "a check failed where it was first read",
					"apply it again through snowwind to see the finding");
		}
		Finding first = findings.get(0);
		return new Condition(Condition.Type.ACCEPTED, false, first.reason(), first.remedy());
	}

	private static Condition inForce(Resource resource, Snapshot snapshot, List<DataCentreStatus> dataCentres) {
		if (!snapshot.resources().contains(resource)) {
			return new Condition(Condition.Type.IN_FORCE, false, "not accepted", "see Accepted");
		}
		List<String> waiting = new ArrayList<>();
		for (DataCentreStatus status : dataCentres) {
			boolean reachable = status.ageMillis() <= CUT_OFF_MILLIS;
			if (reachable && status.revision() < resource.revision().toLong()) {
				waiting.add(status.dataCentre() + " (" + status.waitsFor() + ")");
			}
		}
		if (waiting.isEmpty() && !dataCentres.isEmpty()) {
			return new Condition(Condition.Type.IN_FORCE, true, "revision " + resource.revision().toLong(), null);
		}
		return new Condition(Condition.Type.IN_FORCE, false, "waits for " + String.join(", ", waiting), null);
	}

	private static Condition degraded(ResourceKey key, MembershipView members, List<DataCentreStatus> dataCentres) {
		boolean server = key.kind() == ResourceKind.BACKEND_SERVER;
		if (server && members.silent(key.name())) {
			return new Condition(Condition.Type.DEGRADED, true, "its agent does not answer this entry",
					"look at its VM, its agent's log and the addresses of the resource");
		}
		List<String> cutOff = dataCentres.stream()
			.filter((status) -> status.ageMillis() > CUT_OFF_MILLIS)
			.map(DataCentreStatus::dataCentre)
			.toList();
		if (cutOff.isEmpty()) {
			return new Condition(Condition.Type.DEGRADED, false, "every known data centre is heard of", null);
		}
		return new Condition(Condition.Type.DEGRADED, true, "cut off: " + String.join(", ", cutOff),
				"it serves by its last configuration and catches up when it is heard of again");
	}

}
