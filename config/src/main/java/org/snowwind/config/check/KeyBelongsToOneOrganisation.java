package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.Resource;

/**
 * No two organisations share a key.
 */
@CheckSummary(value = "No two organisations share a key.", severity = Finding.Severity.ERROR)
public final class KeyBelongsToOneOrganisation implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof OrganisationSpec organisation)) {
			return NO_FINDINGS;
		}
		for (ResourceSet.Named<OrganisationSpec> other : all.allOf(OrganisationSpec.class)) {
			boolean earlier = other.before(resource);
			if (earlier && other.spec().keyDigests().stream().anyMatch(organisation.keyDigests()::contains)) {
				return List.of(finding(resource).field("keyDigests")
					.because("organisation " + other.name() + " has the same key")
					.remedy("give each organisation a key of its own"));
			}
		}
		return NO_FINDINGS;
	}

}
