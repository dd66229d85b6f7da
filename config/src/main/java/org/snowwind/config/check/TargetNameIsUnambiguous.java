package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ServiceSpec;

/**
 * No service has the name of a model group.
 */
@CheckSummary(value = "No service has the name of a model group.", severity = Finding.Severity.ERROR)
public final class TargetNameIsUnambiguous implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof ServiceSpec)) {
			return NO_FINDINGS;
		}
		if (all.find(ResourceKind.MODEL_GROUP, resource.key().name()).isEmpty()) {
			return NO_FINDINGS;
		}
		return List
			.of(finding(resource).field("name").because("a ModelGroup has the same name").remedy("rename one of them"));
	}

}
