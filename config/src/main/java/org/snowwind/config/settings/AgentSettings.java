package org.snowwind.config.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of one agent; {@code config/agent.toml} explains each.
 *
 * @param name the name of the backend server, as its resource has it
 * @param dataCentre the data centre it stands in
 * @param requests where entries send requests
 * @param control where entries send heartbeats and orders
 * @param admin where metrics and readiness are read
 * @param fleetCredential shared by all processes of the fleet
 * @param startConcurrency how many requests run at once at first
 * @param maxConcurrency how many requests may ever run at once
 * @param maxWaitingPerOrganisation how many requests of one organisation may wait
 * @param drainMillis how long running requests may take at a stop, in milliseconds
 * @param backends what runs on the server
 * @param logFormat how log lines look
 */
public record AgentSettings(String name, String dataCentre, InetSocketAddress requests, InetSocketAddress control,
		InetSocketAddress admin, String fleetCredential, int startConcurrency, int maxConcurrency,
		int maxWaitingPerOrganisation, long drainMillis, List<Backend> backends, LogFormat logFormat) {

	/**
	 * Reads settings.
	 * @param reader gives the values
	 * @return the settings
	 */
	public static AgentSettings from(SettingsReader reader) {
		return new AgentSettings(reader.text("name"), reader.text("data_centre"), reader.address("listen.requests"),
				reader.address("listen.control"), reader.address("listen.admin"), reader.text("fleet.credential"),
				(int) reader.number("admission.start_concurrency", 16, 1, 10_000),
				(int) reader.number("admission.max_concurrency", 256, 1, 10_000),
				(int) reader.number("admission.max_waiting_per_organisation", 64, 1, 10_000),
				reader.number("timing.drain_millis", 30_000, 0, 600_000), backends(reader),
				reader.oneOf("log.format", LogFormat.TEXT));
	}

	private static List<Backend> backends(SettingsReader reader) {
		List<Backend> backends = reader.tables("backend", Backend::from);
		if (backends.isEmpty()) {
			reader.fault("backend", "(absent)", "at least one [[backend]] table", "name what runs on this server");
		}
		return backends;
	}

	/**
	 * One engine or plain service on the server.
	 *
	 * @param target the name of the service or model group
	 * @param kind which protocol it speaks
	 * @param address where it listens
	 */
	public record Backend(String target, Kind kind, InetSocketAddress address) {

		static Backend from(SettingsReader reader) {
			return new Backend(reader.text("target"), reader.oneOf("kind", Kind.PLAIN), reader.address("address"));
		}

		/**
		 * The protocols of back ends.
		 */
		public enum Kind {

			/** A model engine. */
			ENGINE,

			/** A plain HTTP service. */
			PLAIN

		}

	}

}
