package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.Resource;

/**
 * The limits of an organisation are positive and within what an entry can hold.
 */
@CheckSummary(value = "The limits of an organisation are positive and within what an entry can hold.",
		severity = Finding.Severity.ERROR)
public final class OrganisationLimitsAreInRange implements ResourceCheck {

	private static final int MAX_BODY_BYTES = 8 << 20;

	private static final double MAX_WEIGHT = 1000;

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof OrganisationSpec organisation)) {
			return NO_FINDINGS;
		}
		boolean rates = organisation.requestsPerSecond() > 0 && organisation.burstRequests() > 0;
		boolean weight = organisation.weight() > 0 && organisation.weight() <= MAX_WEIGHT;
		boolean open = organisation.maxOpenRequests() > 0;
		boolean body = organisation.maxBodyBytes() > 0 && organisation.maxBodyBytes() <= MAX_BODY_BYTES;
		if (rates && weight && open && body) {
			return NO_FINDINGS;
		}
		return List.of(finding(resource).field("limits")
			.because("a limit is not positive, weight is over 1000, or maxBodyBytes is over 8 MiB")
			.remedy("give values in range, or leave them out for the defaults"));
	}

}
