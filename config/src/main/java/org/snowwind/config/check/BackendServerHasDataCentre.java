package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.Resource;

/**
 * A backend server names its data centre.
 */
@CheckSummary(value = "A backend server names its data centre.", severity = Finding.Severity.ERROR)
public final class BackendServerHasDataCentre implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof BackendServerSpec server)) {
			return NO_FINDINGS;
		}
		if (Texts.dnsLabel().test(server.dataCentre())) {
			return NO_FINDINGS;
		}
		return List.of(finding(resource).field("dataCentre")
			.because("dataCentre is absent or not a DNS label")
			.remedy("name the data centre that the server stands in"));
	}

}
