package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.Resource;

/**
 * An organisation has at least one key and at most two.
 */
@CheckSummary(value = "An organisation has at least one key and at most two.", severity = Finding.Severity.WARNING)
public final class OrganisationHasKey implements ResourceCheck {

	private static final int MOST = 2;

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof OrganisationSpec organisation)) {
			return NO_FINDINGS;
		}
		int keys = organisation.keyDigests().size();
		if (keys >= 1 && keys <= MOST) {
			return NO_FINDINGS;
		}
		return List.of(finding(resource).field("keyDigests")
			.because("there are " + keys + " keys")
			.remedy("give one key, or two while rotating"));
	}

}
