package org.snowwind.gateway.table;

/**
 * A service that routes lead to.
 *
 * @param name its name
 * @param engine how fast its engines are; {@code null} for a plain service
 */
public record ServiceEntry(String name, EngineProfile engine) {

}
