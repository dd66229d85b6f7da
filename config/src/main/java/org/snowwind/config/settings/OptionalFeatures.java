package org.snowwind.config.settings;

import java.util.List;

/**
 * Settings of features that a deployment asks for; without them a gateway works as if the
 * feature did not exist.
 *
 * @param evacuationMillis within which the evacuation of a data centre must be in force,
 * in milliseconds; 0 if data centres are not evacuated
 * @param coldOver by which factor the requests per second that a service names for a cold
 * server may be exceeded within a second; 0 if servers are not protected while they are
 * cold
 * @param coldSlackRequests how many further requests a cold server may get within a
 * second
 * @param memoryMegabytes the memory of the VM, from which the bound on bytes held for
 * callers follows, in megabytes; 0 if these bytes have no common bound
 */
public record OptionalFeatures(long evacuationMillis, double coldOver, double coldSlackRequests, long memoryMegabytes) {

	/** No feature is asked for. */
	public static final OptionalFeatures NONE = new OptionalFeatures(0, 0, 0, 0);

	/** Data centres may be evacuated, and their servers return cold. */
	private static final String PLACES = "places";

	/** Callers and servers may read slowly, and memory may run short. */
	private static final String PRESSURE = "pressure";

	/**
	 * Reads the settings.
	 * @param reader gives the values
	 * @return the settings
	 */
	static OptionalFeatures from(SettingsReader reader) {
		List<String> features = reader.texts("features");
		boolean places = features.contains(PLACES);
		long evacuationMillis = reader.number("evacuation.in_force_millis", 5000, 200, 600_000);
		double coldOver = reader.decimal("cold_servers.over", 1.5, 1, 100);
		double coldSlackRequests = reader.decimal("cold_servers.slack_requests", 5, 0, 1_000_000);
		long memoryMegabytes = reader.number("vm.memory_megabytes", 0, 0, 1_000_000);
		return new OptionalFeatures(places ? evacuationMillis : 0, places ? coldOver : 0,
				places ? coldSlackRequests : 0, features.contains(PRESSURE) ? memoryMegabytes : 0);
	}

}
