package org.snowwind.entry.member;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.snowwind.config.snapshot.ResourceSet.Named;
import org.snowwind.model.EraRevision;
import org.snowwind.model.resource.BackendServerSpec;

import static org.assertj.core.api.Assertions.assertThat;

class ObservedServersTests {

	private static List<Named<BackendServerSpec>> servers(int near, int far) {
		List<Named<BackendServerSpec>> servers = new ArrayList<>();
		for (int i = 0; i < near + far; i++) {
			String where = (i < near) ? "casa" : "fes";
			servers.add(new Named<>("s" + i, EraRevision.ofLong(1),
					new BackendServerSpec(where, "a" + i, "c" + i, List.of("chat"), null)));
		}
		return servers;
	}

	@Test
	void ofASmallFleetAllAreObserved() {
		assertThat(ObservedServers.of(servers(16, 3), "entry-1", "casa")).hasSize(19);
	}

	@Test
	void ofALargeFleetABoundedPartIs() {
		assertThat(ObservedServers.of(servers(200, 2200), "entry-1", "casa"))
			.hasSize(ObservedServers.NEAR_PER_TARGET + ObservedServers.FAR_PER_TARGET);
	}

	@Test
	void theEntriesOfADataCentreTogetherCoverItsServers() {
		Set<String> covered = new HashSet<>();
		for (int entry = 0; entry < 40; entry++) {
			covered.addAll(ObservedServers.of(servers(100, 0), "entry-" + entry, "casa").keySet());
		}
		assertThat(covered).hasSize(100);
	}

}
