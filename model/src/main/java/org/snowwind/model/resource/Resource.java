package org.snowwind.model.resource;

import org.snowwind.model.EraRevision;

/**
 * One declared resource.
 *
 * @param key its kind and name
 * @param generation grows by one with each change of the specification
 * @param revision the platform's revision of its last change
 * @param spec what is wanted
 */
public record Resource(ResourceKey key, long generation, EraRevision revision, ResourceSpec spec) {

}
