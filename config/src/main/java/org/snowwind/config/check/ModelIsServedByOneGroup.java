package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.ModelGroupSpec;
import org.snowwind.model.resource.Resource;

/**
 * No two model groups serve models of one name.
 */
@CheckSummary(value = "No two model groups serve models of one name.", severity = Finding.Severity.ERROR)
public final class ModelIsServedByOneGroup implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof ModelGroupSpec group)) {
			return NO_FINDINGS;
		}
		for (ResourceSet.Named<ModelGroupSpec> other : all.allOf(ModelGroupSpec.class)) {
			boolean earlier = other.before(resource);
			if (earlier && group.model() != null && group.model().equals(other.spec().model())) {
				return List.of(finding(resource).field("model")
					.because("group " + other.name() + " serves the same model")
					.remedy("put more servers behind the one group"));
			}
		}
		return NO_FINDINGS;
	}

}
