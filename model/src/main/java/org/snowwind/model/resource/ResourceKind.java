package org.snowwind.model.resource;

import java.util.Locale;
import java.util.Optional;

/**
 * The kinds of resources.
 */
public enum ResourceKind {

	/** A customer organisation. */
	ORGANISATION("Organisation", OrganisationSpec.class),

	/** A group of model ranks. */
	MODEL_GROUP("ModelGroup", ModelGroupSpec.class),

	/** The placement of a group's experts. */
	EXPERT_MAP("ExpertMap", ExpertMapSpec.class),

	/** A machine that runs engines or plain services. */
	BACKEND_SERVER("BackendServer", BackendServerSpec.class),

	/** A plain service. */
	SERVICE("Service", ServiceSpec.class),

	/** How requests for a target are routed. */
	ROUTING_POLICY("RoutingPolicy", RoutingPolicySpec.class);

	private final String title;

	private final Class<? extends ResourceSpec> specType;

	ResourceKind(String title, Class<? extends ResourceSpec> specType) {
		this.title = title;
		this.specType = specType;
	}

	/**
	 * Returns the name that operators write.
	 * @return for example {@code BackendServer}
	 */
	public String title() {
		return this.title;
	}

	/**
	 * Returns the type of the specification.
	 * @return a record type
	 */
	public Class<? extends ResourceSpec> specType() {
		return this.specType;
	}

	/**
	 * Finds a kind by what an operator wrote.
	 * @param text the kind in any case, singular or plural
	 * @return the kind, if there is one
	 */
	public static Optional<ResourceKind> parse(String text) {
		String wanted = text.toLowerCase(Locale.ROOT);
		for (ResourceKind kind : values()) {
			String singular = kind.title.toLowerCase(Locale.ROOT);
			if (wanted.equals(singular) || wanted.equals(singular + "s")) {
				return Optional.of(kind);
			}
		}
		return Optional.empty();
	}

}
