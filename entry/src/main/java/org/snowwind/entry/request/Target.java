package org.snowwind.entry.request;

/**
 * Where a caller's path leads.
 *
 * @param name the name of the service or model group
 * @param engine whether it is a model group
 * @param pathAndQuery what stands behind the target's name
 */
record Target(String name, boolean engine, String pathAndQuery) {

}
