package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.Resource;

/**
 * The name of a resource is a DNS label.
 */
@CheckSummary(value = "The name of a resource is a DNS label.", severity = Finding.Severity.ERROR)
public final class NameIsDnsLabel implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (Texts.dnsLabel().test(resource.key().name())) {
			return NO_FINDINGS;
		}
		return List.of(finding(resource).field("name")
			.because("the name is not a DNS label")
			.remedy("use 1 to 63 lower-case letters, digits and inner hyphens"));
	}

}
