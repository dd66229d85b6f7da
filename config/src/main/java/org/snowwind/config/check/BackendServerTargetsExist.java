package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKind;

/**
 * A backend server serves declared services and model groups.
 */
@CheckSummary(value = "A backend server serves declared services and model groups.", severity = Finding.Severity.ERROR)
public final class BackendServerTargetsExist implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof BackendServerSpec server)) {
			return NO_FINDINGS;
		}
		for (String target : server.targets()) {
			boolean declared = all.find(ResourceKind.SERVICE, target).isPresent()
					|| all.find(ResourceKind.MODEL_GROUP, target).isPresent();
			if (!declared) {
				return List.of(finding(resource).field("targets")
					.because("no Service or ModelGroup is named " + target)
					.remedy("declare it first, or apply both together"));
			}
		}
		return NO_FINDINGS;
	}

}
