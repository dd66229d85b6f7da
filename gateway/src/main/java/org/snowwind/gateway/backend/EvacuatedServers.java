package org.snowwind.gateway.backend;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Decides which servers get no new requests because their data centre is evacuated.
 * Confined to the event loop.
 *
 * <p>
 * After an evacuation the servers are empty, and all gateways learn of its end at nearly
 * the same time. Their share of new requests therefore rises over some seconds.
 */
final class EvacuatedServers {

	/**
	 * How long the share of new requests rises after an evacuation, in milliseconds. It
	 * is several times the age of reports, which show where requests go, and shorter than
	 * callers keep retrying.
	 */
	private static final long RETURN_MILLIS = 1500;

	private Set<String> dataCentres = Set.of();

	/**
	 * Applies the evacuations in force to all servers.
	 * @param next the names of the evacuated data centres
	 * @param servers all servers
	 * @param nowMillis the time, in milliseconds
	 */
	void update(Set<String> next, Collection<Backend> servers, long nowMillis) {
		Set<String> changed = new HashSet<>(next);
		changed.addAll(this.dataCentres);
		changed.removeIf((dataCentre) -> next.contains(dataCentre) && this.dataCentres.contains(dataCentre));
		this.dataCentres = Set.copyOf(next);
		servers.forEach((server) -> apply(server, nowMillis));
		// Before the first registry nothing is known of any data centre.
		if (!servers.isEmpty()) {
			changed.forEach((dataCentre) -> log(dataCentre, servers));
		}
	}

	/**
	 * Applies the evacuations in force to a server.
	 * @param server the server
	 * @param nowMillis the time, in milliseconds
	 */
	void apply(Backend server, long nowMillis) {
		server.evacuated(this.dataCentres.contains(server.entry().dataCentre()), RETURN_MILLIS, nowMillis);
	}

	private void log(String dataCentre, Collection<Backend> servers) {
		List<Backend> there = servers.stream()
			.filter((server) -> server.entry().dataCentre().equals(dataCentre))
			.toList();
		EventLog.log(Event.EVACUATION_APPLIED, "dataCentre", dataCentre, "evacuated",
				this.dataCentres.contains(dataCentre), "servers", there.size(), "inFlight",
				there.stream().mapToInt(Backend::inFlight).sum());
	}

}
