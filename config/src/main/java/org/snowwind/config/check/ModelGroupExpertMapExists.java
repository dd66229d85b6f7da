package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.ModelGroupSpec;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKind;

/**
 * The expert map that a model group names is declared.
 */
@CheckSummary(value = "The expert map that a model group names is declared.", severity = Finding.Severity.ERROR)
public final class ModelGroupExpertMapExists implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof ModelGroupSpec group)) {
			return NO_FINDINGS;
		}
		boolean none = group.expertMap() == null;
		if (none || all.find(ResourceKind.EXPERT_MAP, group.expertMap()).isPresent()) {
			return NO_FINDINGS;
		}
		return List.of(finding(resource).field("expertMap")
			.because("no ExpertMap is named " + group.expertMap())
			.remedy("declare it first, or apply both together"));
	}

}
