package org.snowwind.gateway.table;

/**
 * A service to which routes send requests.
 *
 * @param name the name of the service
 * @param engine the performance of its engines; {@code null} for a plain service
 * @param coldPerSecond the requests per second that one of its servers takes from all
 * gateways together while it is cold; 0 if its servers need no protection
 */
public record ServiceEntry(String name, EngineProfile engine, double coldPerSecond) {

}
