package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.Resource;

/**
 * One check of resources.
 *
 * <p>
 * Each check is one class that carries {@link CheckSummary}, has one test class and one
 * page of its name under {@code docs/checks}, and is listed in {@link BuiltInChecks}.
 */
public interface ResourceCheck {

	/** Nothing is wrong. */
	List<Finding> NO_FINDINGS = List.of();

	/**
	 * Checks one resource among all.
	 * @param resource the resource
	 * @param all all resources, the checked one included
	 * @return what is wrong, {@link #NO_FINDINGS} if nothing is
	 */
	List<Finding> check(Resource resource, ResourceSet all);

	/**
	 * Begins a finding of this check.
	 * @param resource the resource
	 * @return a builder
	 */
	default Finding.Builder finding(Resource resource) {
		CheckSummary summary = getClass().getAnnotation(CheckSummary.class);
		return Finding.of(getClass().getSimpleName(), summary.severity(), resource.key());
	}

}
