package org.snowwind.config.check;

import java.util.ArrayList;
import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.Resource;

/**
 * Runs a list of checks.
 */
public final class ResourceChecks {

	private final List<ResourceCheck> checks;

	/**
	 * Creates the runner.
	 * @param checks the checks
	 */
	public ResourceChecks(List<ResourceCheck> checks) {
		this.checks = List.copyOf(checks);
	}

	/**
	 * Checks all resources.
	 * @param all the resources
	 * @return what is wrong
	 */
	public List<Finding> check(ResourceSet all) {
		List<Finding> findings = new ArrayList<>();
		for (Resource resource : all.all()) {
			findings.addAll(check(resource, all));
		}
		return findings;
	}

	/**
	 * Checks one resource among all.
	 * @param resource the resource
	 * @param all all resources, the checked one included
	 * @return what is wrong with it
	 */
	public List<Finding> check(Resource resource, ResourceSet all) {
		List<Finding> findings = new ArrayList<>();
		for (ResourceCheck check : this.checks) {
			findings.addAll(check.check(resource, all));
		}
		return findings;
	}

}
