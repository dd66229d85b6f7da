package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.Resource;

/**
 * The addresses of a backend server are IP numbers with ports.
 */
@CheckSummary(value = "The addresses of a backend server are IP numbers with ports.", severity = Finding.Severity.ERROR)
public final class BackendServerAddressIsIpAndPort implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof BackendServerSpec server)) {
			return NO_FINDINGS;
		}
		if (Texts.ipAndPort().test(server.address()) && Texts.ipAndPort().test(server.controlAddress())) {
			return NO_FINDINGS;
		}
		return List.of(finding(resource).field("address")
			.because("address or controlAddress is not IP:PORT")
			.remedy("write for example 10.0.0.1:7200"));
	}

}
