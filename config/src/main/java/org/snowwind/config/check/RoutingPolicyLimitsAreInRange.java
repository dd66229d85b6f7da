package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.RoutingPolicySpec;

/**
 * The budget, attempts and weights of a routing policy are in range.
 */
@CheckSummary(value = "The budget, attempts and weights of a routing policy are in range.",
		severity = Finding.Severity.ERROR)
public final class RoutingPolicyLimitsAreInRange implements ResourceCheck {

	private static final long MAX_BUDGET_MILLIS = 3_600_000;

	private static final int MAX_ATTEMPTS = 10;

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof RoutingPolicySpec policy)) {
			return NO_FINDINGS;
		}
		boolean budget = policy.budgetMillis() > 0 && policy.budgetMillis() <= MAX_BUDGET_MILLIS;
		boolean attempts = policy.maxAttempts() > 0 && policy.maxAttempts() <= MAX_ATTEMPTS;
		boolean weights = policy.skewWeight() > 0 && policy.moveWeight() > 0;
		if (budget && attempts && weights) {
			return NO_FINDINGS;
		}
		return List.of(finding(resource).field("limits")
			.because("budgetMillis is not in 1 to 3600000, maxAttempts not in 1 to 10, or a weight not positive")
			.remedy("give values in range, or leave them out for the defaults"));
	}

}
