package org.snowwind.gateway.table;

/**
 * The organisation that holds a key.
 *
 * @param organisation its name
 * @param priority its rank, which goes before the route's; -1 if it has none
 */
public record KeyHolder(String organisation, int priority) {

}
