package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.ModelGroupSpec;
import org.snowwind.model.resource.Resource;

/**
 * The experts of a model group fit on its ranks.
 */
@CheckSummary(value = "The experts of a model group fit on its ranks.", severity = Finding.Severity.ERROR)
public final class ModelGroupShapeIsPossible implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof ModelGroupSpec group)) {
			return NO_FINDINGS;
		}
		boolean named = group.model() != null && !group.model().isBlank();
		boolean dense = group.experts() == 0 && group.expertMap() == null;
		boolean fits = group.ranks() > 0 && group.layers() > 0 && group.slotsPerRank() > 0
				&& (long) group.ranks() * group.slotsPerRank() >= group.experts();
		if (named && (dense || fits)) {
			return NO_FINDINGS;
		}
		return List.of(finding(resource).field("experts")
			.because("model is absent, or ranks times slotsPerRank is less than experts")
			.remedy("name the model, and give more ranks or slots; leave experts out for a dense model"));
	}

}
