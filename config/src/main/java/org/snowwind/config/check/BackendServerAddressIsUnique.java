package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.Resource;

/**
 * No two backend servers share an address.
 */
@CheckSummary(value = "No two backend servers share an address.", severity = Finding.Severity.ERROR)
public final class BackendServerAddressIsUnique implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof BackendServerSpec server)) {
			return NO_FINDINGS;
		}
		for (ResourceSet.Named<BackendServerSpec> other : all.allOf(BackendServerSpec.class)) {
			boolean earlier = other.before(resource);
			boolean same = isSame(other.spec().address(), server.address())
					|| isSame(other.spec().controlAddress(), server.controlAddress());
			if (earlier && same) {
				return List.of(finding(resource).field("address")
					.because("server " + other.name() + " has the same address")
					.remedy("give each server addresses of its own"));
			}
		}
		return NO_FINDINGS;
	}

	// Another check rejects absent addresses.
	private static boolean isSame(String address, String other) {
		return address != null && address.equals(other);
	}

}
