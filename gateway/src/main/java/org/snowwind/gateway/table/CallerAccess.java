package org.snowwind.gateway.table;

import java.util.List;
import java.util.Optional;

/**
 * Who may send requests under one configuration. Immutable.
 *
 * <p>
 * Whether access is open follows from what is configured, not from the number of keys, so
 * that the removal of a key never opens access.
 */
public sealed interface CallerAccess permits OpenAccess, KeyedAccess {

	/**
	 * Returns whether requests need an API key, except on open routes.
	 * @return true if organisations are configured, even if none of them has a key
	 */
	boolean requiresKey();

	/**
	 * Finds the holder of an API key.
	 * @param key the key as the value of a header, one character for each octet
	 * @return the organisation, empty if the key belongs to none
	 */
	Optional<KeyHolder> holderOf(String key);

	/**
	 * Returns the organisations that may send requests, with and without keys.
	 * @return the organisations in the order of the configuration
	 */
	List<KeyHolder> organisations();

	/**
	 * Returns which organisations cannot send requests, or not with all their keys.
	 * @return at most one fault for each organisation
	 */
	List<AccessFault> faults();

}
