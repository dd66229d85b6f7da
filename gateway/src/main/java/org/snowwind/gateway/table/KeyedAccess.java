package org.snowwind.gateway.table;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The access under a configuration with organisations: requests need a key of one of
 * them. Without any key no request is accepted.
 */
public final class KeyedAccess implements CallerAccess {

	private final List<KeyHolder> organisations;

	private final Map<String, KeyHolder> holdersByKey;

	private final List<AccessFault> faults;

	/**
	 * Creates the access of organisations.
	 * @param organisations the organisations that may send requests; empty if nobody may
	 * @param faults why others may not, or not with all their keys
	 */
	public KeyedAccess(List<Organisation> organisations, List<AccessFault> faults) {
		this.organisations = organisations.stream().map(Organisation::holder).toList();
		this.faults = List.copyOf(faults);
		Map<String, KeyHolder> holders = new HashMap<>();
		for (Organisation organisation : organisations) {
			organisation.keys().forEach((key) -> holders.put(key, organisation.holder()));
		}
		faults.forEach((fault) -> holders.keySet().removeAll(fault.withheldKeys()));
		this.holdersByKey = Map.copyOf(holders);
	}

	@Override
	public boolean requiresKey() {
		return true;
	}

	@Override
	public Optional<KeyHolder> holderOf(String key) {
		return Optional.ofNullable(this.holdersByKey.get(key));
	}

	@Override
	public List<KeyHolder> organisations() {
		return this.organisations;
	}

	@Override
	public List<AccessFault> faults() {
		return this.faults;
	}

}
