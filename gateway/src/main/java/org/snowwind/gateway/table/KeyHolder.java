package org.snowwind.gateway.table;

/**
 * The organisation to which an API key belongs.
 *
 * @param organisation the name of the organisation
 * @param priority the priority of its requests, which overrides that of the route; -1 if
 * none is configured
 */
public record KeyHolder(String organisation, int priority) {

}
