package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ServiceLevel;

/**
 * The service level of an organisation can be met and can be missed.
 */
@CheckSummary(value = "The service level of an organisation can be met and can be missed.",
		severity = Finding.Severity.ERROR)
public final class ServiceLevelIsInRange implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof OrganisationSpec organisation)) {
			return NO_FINDINGS;
		}
		ServiceLevel level = organisation.serviceLevel();
		boolean share = level.targetShare() > 0 && level.targetShare() < 1;
		if (share && level.firstByteMillis() > 0 && level.wholeAnswerMillis() >= level.firstByteMillis()) {
			return NO_FINDINGS;
		}
		return List.of(finding(resource).field("serviceLevel")
			.because("targetShare is not between 0 and 1, or a time is not positive or out of order")
			.remedy("give for example targetShare = 0.95, firstByteMillis = 330, wholeAnswerMillis = 30000"));
	}

}
