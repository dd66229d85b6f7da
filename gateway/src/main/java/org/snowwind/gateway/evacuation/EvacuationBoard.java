package org.snowwind.gateway.evacuation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.snowwind.model.MonotonicClock;

/**
 * At which gateways which evacuations are in force, for operators. Thread-safe.
 */
final class EvacuationBoard {

	private static final Comparator<Line> ORDER = Comparator.comparing(Line::dataCentre).thenComparing(Line::gateway);

	/** The maximum number of gateways; further ones are not shown. */
	private static final int MAX_GATEWAYS = 2000;

	private final MonotonicClock clock;

	/** Since when each data centre is evacuated, by the gateway's name. */
	private final Map<String, Map<String, Long>> sinceMillis = new HashMap<>();

	/**
	 * Creates an empty board.
	 * @param clock provides the current time
	 */
	EvacuationBoard(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records what a gateway has in force.
	 * @param gateway the name of the gateway
	 * @param dataCentres the names of the evacuated data centres
	 */
	synchronized void record(String gateway, Set<String> dataCentres) {
		if (dataCentres.isEmpty()) {
			this.sinceMillis.remove(gateway);
			return;
		}
		if (this.sinceMillis.size() >= MAX_GATEWAYS && !this.sinceMillis.containsKey(gateway)) {
			return;
		}
		Map<String, Long> ofGateway = this.sinceMillis.computeIfAbsent(gateway, (name) -> new HashMap<>());
		ofGateway.keySet().retainAll(dataCentres);
		dataCentres.forEach((dataCentre) -> ofGateway.putIfAbsent(dataCentre, this.clock.nowMillis()));
	}

	/**
	 * Lists what is in force where.
	 * @param gateways the names of the gateways that live; others are dropped
	 * @return one line for each data centre and gateway, sorted
	 */
	synchronized List<Line> lines(Set<String> gateways) {
		this.sinceMillis.keySet().retainAll(gateways);
		long nowMillis = this.clock.nowMillis();
		List<Line> lines = new ArrayList<>();
		this.sinceMillis.forEach((gateway, since) -> since
			.forEach((dataCentre, millis) -> lines.add(new Line(dataCentre, gateway, nowMillis - millis))));
		lines.sort(ORDER);
		return List.copyOf(lines);
	}

	/**
	 * An evacuation in force at a gateway.
	 *
	 * @param dataCentre the name of the data centre
	 * @param gateway the name of the gateway
	 * @param sinceMillis for how long this process has known it, in milliseconds
	 */
	record Line(String dataCentre, String gateway, long sinceMillis) {

	}

}
