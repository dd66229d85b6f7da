package org.snowwind.config.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of one gateway; {@code config/gateway.toml} explains each.
 *
 * @param name its name, unique in the fleet
 * @param dataCentre the data centre it stands in
 * @param callers where callers send requests
 * @param readiness where the balancer asks whether it is ready
 * @param peers where other gateways send reports
 * @param admin where metrics are read
 * @param seeds where other gateways may be
 * @param platform where the platform's object API listens
 * @param graceMillis the time from a stop signal to the end, in milliseconds
 * @param retryFraction retries per request, for all gateways together
 * @param retryExtra further retries in a window, for all gateways together
 * @param retryWindowMillis the window, in milliseconds
 * @param drainMillis within which a server that says that it leaves must get nothing new,
 * in milliseconds
 * @param inForceMillis within which an acknowledged configuration must be in force, in
 * milliseconds
 * @param stableMillis after which a disruption is no excuse any more, in milliseconds
 * @param historyMillis for how long the platform keeps changes for watches, in
 * milliseconds
 * @param logFormat how log lines look
 * @param features what the deployment asks for beyond that
 */
public record GatewaySettings(String name, String dataCentre, InetSocketAddress callers, InetSocketAddress readiness,
		InetSocketAddress peers, InetSocketAddress admin, List<InetSocketAddress> seeds, InetSocketAddress platform,
		long graceMillis, double retryFraction, int retryExtra, long retryWindowMillis, long drainMillis,
		long inForceMillis, long stableMillis, long historyMillis, LogFormat logFormat, OptionalFeatures features) {

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Reads settings.
	 * @param reader gives the values
	 * @return the settings
	 */
	public static GatewaySettings from(SettingsReader reader) {
		return new GatewaySettings(reader.text("name"), reader.text("data_centre"), reader.address("listen.callers"),
				reader.address("listen.readiness"), reader.address("listen.peers"), reader.address("listen.admin"),
				reader.addresses("peers.seeds"), reader.address("platform.address"),
				millis(reader.decimal("stop.grace_seconds", 8, 1, 600)), reader.decimal("retries.fraction", 0.2, 0, 10),
				(int) reader.decimal("retries.extra", 50, 0, 1_000_000),
				millis(reader.decimal("retries.window_seconds", 10, 1, 600)),
				(long) reader.decimal("servers.drain_millis", 2000, 100, 600_000),
				(long) reader.decimal("configuration.in_force_millis", 2000, 200, 600_000),
				(long) reader.decimal("platform.stable_millis", 3000, 200, 600_000),
				millis(reader.decimal("platform.history_seconds", 20, 1, 86_400)),
				reader.oneOf("log.format", LogFormat.JSON), OptionalFeatures.from(reader));
	}

	private static long millis(double seconds) {
		return Math.round(seconds * MILLIS_PER_SECOND);
	}

}
