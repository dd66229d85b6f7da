package org.snowwind.config.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of one entry; {@code config/entry.toml} explains each.
 *
 * @param name the VM's name
 * @param dataCentre the data centre it stands in
 * @param callers where callers connect
 * @param operators where operators connect
 * @param control where other entries connect
 * @param admin where metrics and readiness are read
 * @param platformUrl the platform's object API
 * @param platformTimeoutMillis how long a call to the platform may take, in milliseconds
 * @param fleetCredential shared by all processes of the fleet
 * @param operatorToken what operators show
 * @param seeds control addresses of other entries, for a start without the platform
 * @param heartbeatMillis how often agents and peers are asked, in milliseconds
 * @param graceMillis how long requests are still taken at a stop, while readiness already
 * tells the balancer to go elsewhere, in milliseconds
 * @param drainMillis how long running requests may take at a stop, in milliseconds
 * @param streamStallMillis the pause after which another server continues an answer if
 * one can, in milliseconds
 * @param burnWriteMillis how often counts of good and bad requests are written to the
 * platform, in milliseconds
 * @param maxConnections how many connections of callers may be open
 * @param logFormat how log lines look
 */
public record EntrySettings(String name, String dataCentre, InetSocketAddress callers, InetSocketAddress operators,
		InetSocketAddress control, InetSocketAddress admin, String platformUrl, long platformTimeoutMillis,
		String fleetCredential, String operatorToken, List<InetSocketAddress> seeds, long heartbeatMillis,
		long graceMillis, long drainMillis, long streamStallMillis, long burnWriteMillis, int maxConnections,
		LogFormat logFormat) {

	/**
	 * Reads settings.
	 * @param reader gives the values
	 * @return the settings
	 */
	public static EntrySettings from(SettingsReader reader) {
		return new EntrySettings(reader.text("name"), reader.text("data_centre"), reader.address("listen.callers"),
				reader.address("listen.operators"), reader.address("listen.control"), reader.address("listen.admin"),
				reader.text("platform.url"), reader.number("platform.timeout_millis", 1000, 10, 60_000),
				reader.text("fleet.credential"), reader.text("fleet.operator_token"),
				reader.addresses("fleet.seed_entries"), reader.number("timing.heartbeat_millis", 500, 50, 10_000),
				reader.number("timing.balancer_grace_millis", 3000, 0, 60_000),
				reader.number("timing.drain_millis", 30_000, 0, 600_000),
				reader.number("timing.stream_stall_millis", 5000, 100, 600_000),
				reader.number("timing.burn_write_millis", 60_000, 1000, 600_000),
				(int) reader.number("limits.max_connections", 4096, 1, 100_000),
				reader.oneOf("log.format", LogFormat.TEXT));
	}

}
