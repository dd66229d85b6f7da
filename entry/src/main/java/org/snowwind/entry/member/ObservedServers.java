package org.snowwind.entry.member;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.snowwind.config.snapshot.ResourceSet.Named;
import org.snowwind.decide.choice.RendezvousHashing;
import org.snowwind.model.resource.BackendServerSpec;

/**
 * Chooses the servers that an entry sends heartbeats to.
 *
 * <p>
 * In a small fleet these are all. In a large one each entry observes a bounded part of
 * each target's servers, most of them near, so that heartbeats do not grow with the
 * product of entries and servers. Parts of different entries differ, so that together
 * they cover all.
 */
final class ObservedServers {

	/** How many near servers of a target one entry observes. */
	static final int NEAR_PER_TARGET = 24;

	/** How many servers of a target in other data centres one entry observes. */
	static final int FAR_PER_TARGET = 8;

	private ObservedServers() {
	}

	/**
	 * Chooses.
	 * @param servers all servers
	 * @param entry the entry's name
	 * @param dataCentre the entry's data centre
	 * @return the chosen ones by name
	 */
	static Map<String, BackendServerSpec> of(List<Named<BackendServerSpec>> servers, String entry, String dataCentre) {
		Set<String> targets = new TreeSet<>();
		servers.forEach((server) -> targets.addAll(server.spec().targets()));
		Set<Named<BackendServerSpec>> chosen = new LinkedHashSet<>();
		for (String target : targets) {
			List<Named<BackendServerSpec>> serving = servers.stream()
				.filter((server) -> server.spec().targets().contains(target))
				.toList();
			chosen.addAll(first(serving, entry, dataCentre, true, NEAR_PER_TARGET));
			chosen.addAll(first(serving, entry, dataCentre, false, FAR_PER_TARGET));
		}
		Map<String, BackendServerSpec> byName = new LinkedHashMap<>();
		chosen.forEach((server) -> byName.put(server.name(), server.spec()));
		return byName;
	}

	private static List<Named<BackendServerSpec>> first(List<Named<BackendServerSpec>> servers, String entry,
			String dataCentre, boolean near, int count) {
		List<Named<BackendServerSpec>> side = servers.stream()
			.filter((server) -> server.spec().dataCentre().equals(dataCentre) == near)
			.toList();
		return RendezvousHashing.highestRanked(side, Named::name, entry, count);
	}

}
