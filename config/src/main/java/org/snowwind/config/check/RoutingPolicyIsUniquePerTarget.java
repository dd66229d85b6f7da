package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.RoutingPolicySpec;

/**
 * A target has at most one routing policy.
 */
@CheckSummary(value = "A target has at most one routing policy.", severity = Finding.Severity.ERROR)
public final class RoutingPolicyIsUniquePerTarget implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof RoutingPolicySpec policy)) {
			return NO_FINDINGS;
		}
		for (ResourceSet.Named<RoutingPolicySpec> other : all.allOf(RoutingPolicySpec.class)) {
			boolean earlier = other.before(resource);
			if (earlier && other.spec().target() != null && other.spec().target().equals(policy.target())) {
				return List.of(finding(resource).field("target")
					.because("policy " + other.name() + " has the same target")
					.remedy("put all routes into one policy"));
			}
		}
		return NO_FINDINGS;
	}

}
