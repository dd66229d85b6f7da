package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.RoutingPolicySpec;

/**
 * The target of a routing policy is declared.
 */
@CheckSummary(value = "The target of a routing policy is declared.", severity = Finding.Severity.ERROR)
public final class RoutingPolicyTargetExists implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof RoutingPolicySpec policy)) {
			return NO_FINDINGS;
		}
		boolean declared = policy.target() != null && (all.find(ResourceKind.SERVICE, policy.target()).isPresent()
				|| all.find(ResourceKind.MODEL_GROUP, policy.target()).isPresent());
		if (declared) {
			return NO_FINDINGS;
		}
		return List.of(finding(resource).field("target")
			.because("no Service or ModelGroup is named " + policy.target())
			.remedy("declare it first, or apply both together"));
	}

}
