package org.snowwind.model.resource;

/**
 * What an operator wants of one resource.
 */
public sealed interface ResourceSpec
		permits OrganisationSpec, ModelGroupSpec, ExpertMapSpec, BackendServerSpec, ServiceSpec, RoutingPolicySpec {

}
