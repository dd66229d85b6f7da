package org.snowwind.gateway.table;

/**
 * A service to which routes send requests.
 *
 * @param name the name of the service
 * @param engine the performance of its engines; {@code null} for a plain service
 */
public record ServiceEntry(String name, EngineProfile engine) {

}
