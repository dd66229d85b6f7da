package org.snowwind.config.snapshot;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.snowwind.config.snapshot.ResourceSet.Named;
import org.snowwind.model.EraRevision;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.ModelGroupSpec;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.RoutingPolicySpec;
import org.snowwind.model.resource.ServiceSpec;

/**
 * The configuration in force in one process, immutable and indexed for requests.
 */
public final class Snapshot {

	/** Before any configuration has come. */
	public static final Snapshot NONE = new Snapshot(EraRevision.NONE, ResourceSet.EMPTY, ResourceSet.EMPTY, Map.of());

	private final EraRevision revision;

	private final ResourceSet resources;

	private final ResourceSet pending;

	private final Map<ResourceKey, List<Finding>> rejected;

	private final Map<String, Named<OrganisationSpec>> organisationsByKeyDigest = new HashMap<>();

	private final Map<String, OrganisationSpec> organisations = new HashMap<>();

	private final Map<String, String> groupsByModel = new HashMap<>();

	private final Map<String, RoutingPolicySpec> policies = new HashMap<>();

	private final List<Named<BackendServerSpec>> servers;

	/**
	 * Creates a snapshot.
	 * @param revision the platform's revision as of which it holds
	 * @param resources the accepted resources
	 * @param pending resources that were not accepted, to be tried again with the next
	 * change
	 * @param rejected what was not accepted, and why
	 */
	public Snapshot(EraRevision revision, ResourceSet resources, ResourceSet pending,
			Map<ResourceKey, List<Finding>> rejected) {
		this.revision = revision;
		this.resources = resources;
		this.pending = pending;
		this.rejected = Map.copyOf(rejected);
		this.servers = resources.allOf(BackendServerSpec.class);
		resources.allOf(OrganisationSpec.class).forEach(this::indexOrganisation);
		resources.allOf(ModelGroupSpec.class)
			.forEach((group) -> this.groupsByModel.put(group.spec().model(), group.name()));
		resources.allOf(RoutingPolicySpec.class)
			.forEach((policy) -> this.policies.put(policy.spec().target(), policy.spec()));
	}

	private void indexOrganisation(Named<OrganisationSpec> organisation) {
		this.organisations.put(organisation.name(), organisation.spec());
		organisation.spec().keyDigests().forEach((digest) -> this.organisationsByKeyDigest.put(digest, organisation));
	}

	/**
	 * Returns the revision.
	 * @return the platform's revision as of which this holds
	 */
	public EraRevision revision() {
		return this.revision;
	}

	/**
	 * Returns the accepted resources.
	 * @return the resources
	 */
	public ResourceSet resources() {
		return this.resources;
	}

	/**
	 * Returns the resources that were not accepted but may be with a later change.
	 * @return the resources
	 */
	public ResourceSet pending() {
		return this.pending;
	}

	/**
	 * Returns what was not accepted.
	 * @return findings by resource
	 */
	public Map<ResourceKey, List<Finding>> rejected() {
		return this.rejected;
	}

	/**
	 * Finds an organisation by the digest of a key.
	 * @param keyDigest the SHA-256 digest of the key in lower-case hexadecimal
	 * @return the organisation
	 */
	public Optional<Named<OrganisationSpec>> organisationByKeyDigest(String keyDigest) {
		return Optional.ofNullable(this.organisationsByKeyDigest.get(keyDigest));
	}

	/**
	 * Finds an organisation by its name.
	 * @param name the name
	 * @return the organisation
	 */
	public Optional<OrganisationSpec> organisation(String name) {
		return Optional.ofNullable(this.organisations.get(name));
	}

	/**
	 * Finds the group that serves a model.
	 * @param model the model's name
	 * @return the group's name
	 */
	public Optional<String> groupOfModel(String model) {
		return Optional.ofNullable(this.groupsByModel.get(model));
	}

	/**
	 * Tells whether a plain service is declared.
	 * @param name the service's name
	 * @return true if it is
	 */
	public boolean hasService(String name) {
		return this.resources.find(org.snowwind.model.resource.ResourceKind.SERVICE, name)
			.filter((resource) -> resource.spec() instanceof ServiceSpec)
			.isPresent();
	}

	/**
	 * Returns the policy of a target.
	 * @param target the name of the service or model group
	 * @return its policy, or the defaults
	 */
	public RoutingPolicySpec policy(String target) {
		RoutingPolicySpec policy = this.policies.get(target);
		return (policy != null) ? policy : RoutingPolicySpec.defaults(target);
	}

	/**
	 * Returns all backend servers.
	 * @return name and specification of each
	 */
	public List<Named<BackendServerSpec>> servers() {
		return this.servers;
	}

}
