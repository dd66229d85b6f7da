package org.snowwind.model.resource;

/**
 * One declared resource.
 *
 * @param key its kind and name
 * @param generation grows by one with each change of the specification
 * @param revision the platform's revision of its last change
 * @param spec what is wanted
 */
public record Resource(ResourceKey key, long generation, long revision, ResourceSpec spec) {

}
