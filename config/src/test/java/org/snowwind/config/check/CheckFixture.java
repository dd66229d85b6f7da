package org.snowwind.config.check;

import java.util.ArrayList;
import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.EraRevision;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.ModelGroupSpec;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ResourceSpec;
import org.snowwind.model.resource.RoutingPolicySpec;

/**
 * Resources for the tests of checks.
 */
final class CheckFixture {

	static final String DIGEST = "ab".repeat(32);

	private CheckFixture() {
	}

	static Resource resource(ResourceKind kind, String name, ResourceSpec spec) {
		return new Resource(new ResourceKey(kind, name), 1, EraRevision.ofLong(1), spec);
	}

	static Resource organisation(String name, String... digests) {
		return resource(ResourceKind.ORGANISATION, name, new OrganisationSpec(List.of(digests), 0, 0, 0, 0, 0));
	}

	static Resource server(String name, String address, String... targets) {
		return resource(ResourceKind.BACKEND_SERVER, name,
				new BackendServerSpec("casa", address, address + "1", List.of(targets), null));
	}

	static Resource group(String name, ModelGroupSpec spec) {
		return resource(ResourceKind.MODEL_GROUP, name, spec);
	}

	static Resource policy(String name, String target) {
		return resource(ResourceKind.ROUTING_POLICY, name, RoutingPolicySpec.defaults(target));
	}

	static List<Finding> check(ResourceCheck check, Resource resource, Resource... others) {
		List<Resource> all = new ArrayList<>(List.of(others));
		all.add(resource);
		return check.check(resource, ResourceSet.of(all));
	}

}
