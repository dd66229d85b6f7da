package org.snowwind.config.snapshot;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.snowwind.model.EraRevision;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ResourceSpec;

/**
 * An immutable set of resources, by kind and name.
 */
public final class ResourceSet {

	/** No resources. */
	public static final ResourceSet EMPTY = new ResourceSet(Map.of());

	private final Map<ResourceKey, Resource> byKey;

	private ResourceSet(Map<ResourceKey, Resource> byKey) {
		this.byKey = byKey;
	}

	/**
	 * Creates a set.
	 * @param resources the resources; a later one displaces an earlier one of its key
	 * @return the set
	 */
	public static ResourceSet of(Collection<Resource> resources) {
		Map<ResourceKey, Resource> byKey = new LinkedHashMap<>();
		resources.forEach((resource) -> byKey.put(resource.key(), resource));
		return new ResourceSet(byKey);
	}

	/**
	 * Returns all resources.
	 * @return the resources
	 */
	public List<Resource> all() {
		return List.copyOf(this.byKey.values());
	}

	/**
	 * Finds one resource.
	 * @param kind its kind
	 * @param name its name
	 * @return the resource, if it is there
	 */
	public Optional<Resource> find(ResourceKind kind, String name) {
		return Optional.ofNullable(this.byKey.get(new ResourceKey(kind, name)));
	}

	/**
	 * Tells whether a resource is here in the same revision.
	 * @param resource the resource
	 * @return true if it is
	 */
	public boolean contains(Resource resource) {
		Resource mine = this.byKey.get(resource.key());
		return mine != null && mine.revision().equals(resource.revision());
	}

	/**
	 * Returns the resources of one kind whose specification has the type asked for.
	 * @param <S> the type of the specification
	 * @param specType the type of the specification
	 * @return name and specification of each
	 */
	public <S extends ResourceSpec> List<Named<S>> allOf(Class<S> specType) {
		List<Named<S>> found = new ArrayList<>();
		for (Resource resource : this.byKey.values()) {
			if (specType.isInstance(resource.spec())) {
				found.add(new Named<>(resource.key().name(), resource.revision(), specType.cast(resource.spec())));
			}
		}
		return List.copyOf(found);
	}

	/**
	 * Returns the set with one resource more or changed.
	 * @param resource the resource
	 * @return a new set
	 */
	public ResourceSet with(Resource resource) {
		Map<ResourceKey, Resource> next = new LinkedHashMap<>(this.byKey);
		next.put(resource.key(), resource);
		return new ResourceSet(next);
	}

	/**
	 * Returns the set without one resource.
	 * @param key the resource's key
	 * @return a new set
	 */
	public ResourceSet without(ResourceKey key) {
		Map<ResourceKey, Resource> next = new LinkedHashMap<>(this.byKey);
		next.remove(key);
		return new ResourceSet(next);
	}

	/**
	 * A specification with its resource's name.
	 *
	 * @param <S> the type of the specification
	 * @param name the name
	 * @param revision the platform's revision of its last change
	 * @param spec the specification
	 */
	public record Named<S>(String name, EraRevision revision, S spec) {

		/**
		 * Tells whether this came before another resource, so that of two that clash the
		 * newcomer is blamed and never displaces what is in force.
		 * @param resource the other resource
		 * @return true if this is older, or as old and first by name
		 */
		public boolean before(Resource resource) {
			if (!this.revision.equals(resource.revision())) {
				return resource.revision().isNewerThan(this.revision);
			}
			return this.name.compareTo(resource.key().name()) < 0;
		}

	}

}
