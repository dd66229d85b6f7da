package org.snowwind.gateway.table;

/**
 * The organisation to which an API key belongs.
 *
 * @param organisation the name of the organisation
 * @param priority the priority of its requests, which overrides that of the route; 0 is
 * the most urgent, {@link RequestPriorities#NONE} if none is configured,
 * {@link RequestPriorities#INVALID} if the configured one is invalid
 */
public record KeyHolder(String organisation, int priority) {

}
