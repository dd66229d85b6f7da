package org.snowwind.gateway.table;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The access under a configuration with organisations: requests need a key of one of
 * them. Without any key no request is accepted. A key of two organisations is valid for
 * neither, since its requests could not be told apart.
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
		Map<String, KeyHolder> holders = new HashMap<>();
		Map<String, AccessFault> faultsByOrganisation = new LinkedHashMap<>();
		faults.forEach((fault) -> faultsByOrganisation.put(fault.organisation(), fault));
		Set<String> withheldKeys = new HashSet<>();
		faults.forEach((fault) -> withheldKeys.addAll(fault.withheldKeys()));
		for (Organisation organisation : organisations) {
			for (String key : organisation.keys()) {
				KeyHolder first = holders.putIfAbsent(key, organisation.holder());
				if (first != null && !first.organisation().equals(organisation.name())) {
					withheldKeys.add(key);
					faultsByOrganisation.putIfAbsent(first.organisation(), sharedKey(first.organisation()));
					faultsByOrganisation.putIfAbsent(organisation.name(), sharedKey(organisation.name()));
				}
			}
		}
		holders.keySet().removeAll(withheldKeys);
		this.holdersByKey = Map.copyOf(holders);
		this.faults = List.copyOf(faultsByOrganisation.values());
	}

	private static AccessFault sharedKey(String organisation) {
		return new AccessFault(organisation, "a key is listed for another organisation as well", List.of());
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
