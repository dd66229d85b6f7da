package org.snowwind.config.check;

import java.util.List;

/**
 * The registry of all checks.
 */
public final class BuiltInChecks {

	/** All checks. */
	public static final List<ResourceCheck> ALL = List.of(new BackendServerAddressIsIpAndPort(),
			new BackendServerAddressIsUnique(), new BackendServerHasDataCentre(), new BackendServerTargetsExist(),
			new ExpertMapPlacesEveryExpert(), new KeyBelongsToOneOrganisation(), new KeyDigestIsSha256(),
			new ModelGroupExpertMapExists(), new ModelGroupShapeIsPossible(), new ModelIsServedByOneGroup(),
			new NameIsDnsLabel(), new OrganisationHasKey(), new OrganisationLimitsAreInRange(),
			new RoutingPolicyIsUniquePerTarget(), new RoutingPolicyLimitsAreInRange(), new RoutingPolicyTargetExists(),
			new ServiceLevelIsInRange(), new TargetNameIsUnambiguous());

	private BuiltInChecks() {
	}

}
