package org.snowwind.model.resource;

/**
 * Names one resource.
 *
 * @param kind its kind
 * @param name its name, unique within the kind
 */
public record ResourceKey(ResourceKind kind, String name) {

	/**
	 * Returns the key under which the platform keeps the resource.
	 * @return {@code resources/Kind/name}
	 */
	public String storeKey() {
		return "resources/" + this.kind.title() + "/" + this.name;
	}

	@Override
	public String toString() {
		return this.kind.title() + "/" + this.name;
	}

}
