package org.snowwind.app.proof;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.snowwind.app.harness.Ports;
import org.snowwind.config.settings.GatewaySettings;
import org.snowwind.config.settings.LogFormat;
import org.snowwind.config.settings.OptionalFeatures;
import org.snowwind.gateway.GatewayDaemon;
import org.snowwind.http.client.JsonClient;
import org.snowwind.platform.PlatformAdapters;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Stops of a gateway that has nothing open, or has not started.
 */
class GatewayStopTests {

	private static final long GRACE_MILLIS = 60_000;

	private static InetSocketAddress address() throws IOException {
		return new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.free());
	}

	private static GatewaySettings settings() throws IOException {
		return new GatewaySettings("g", "dc", address(), address(), address(), address(), List.of(), address(),
				GRACE_MILLIS, 0, 0, 1000, 2000, 2000, 3000, 20_000, LogFormat.JSON, OptionalFeatures.NONE);
	}

	@Test
	void aGatewayThatIsToldToStopBeforeItListensNeverTakesARequest() throws Exception {
		GatewaySettings settings = settings();
		JsonClient calls = new JsonClient(Map.of(), 100);
		try (GatewayDaemon gateway = new GatewayDaemon(settings, PlatformAdapters.of(calls, settings.platform()))) {
			gateway.drainAndStop();
			gateway.start();
			InetSocketAddress callers = gateway.callers();
			assertThatExceptionOfType(ConnectException.class)
				.isThrownBy(() -> new Socket(callers.getAddress(), callers.getPort()).close());
		}
		finally {
			calls.close();
		}
	}

	@Test
	void aStopWithNothingOpenEndsLongBeforeItsGrace() throws Exception {
		GatewaySettings settings = settings();
		JsonClient calls = new JsonClient(Map.of(), 100);
		try (GatewayDaemon gateway = new GatewayDaemon(settings, PlatformAdapters.of(calls, settings.platform()))) {
			gateway.start();
			Thread stop = new Thread(gateway::drainAndStop, "stop");
			stop.start();
			stop.join(GRACE_MILLIS / 2);
			assertThat(stop.isAlive()).isFalse();
		}
		finally {
			calls.close();
		}
	}

}
