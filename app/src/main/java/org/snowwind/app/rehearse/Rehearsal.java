package org.snowwind.app.rehearse;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;

import org.apache.thrift.transport.TTransportException;
import org.snowwind.config.settings.Addresses;
import org.snowwind.config.settings.GatewaySettings;
import org.snowwind.config.settings.LogFormat;
import org.snowwind.config.settings.OptionalFeatures;
import org.snowwind.gateway.GatewayDaemon;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.JsonClient;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.client.UpstreamRequest;
import org.snowwind.http.client.WholeAnswer;
import org.snowwind.model.duty.Pause;
import org.snowwind.platform.PlatformAdapters;

/**
 * Runs a gateway for some seconds with a few requests.
 */
public final class Rehearsal {

	private static final int ROUNDS = 20;

	private static final long PAUSE_MILLIS = 100;

	private static final long CONNECT_MILLIS = 500;

	private static final int MAX_ANSWER_BYTES = 1 << 20;

	private Rehearsal() {
	}

	/**
	 * Runs it.
	 * @return whether the gateway answered
	 */
	public static boolean run() {
		int[] answered = new int[1];
		DataLoop loop = new DataLoop("rehearsal");
		CannedPlatform platform = new CannedPlatform(loop);
		InetSocketAddress address = platform.start();
		try (UpstreamClient caller = new UpstreamClient(loop, CONNECT_MILLIS);
				JsonClient calls = new JsonClient(Map.of(), CONNECT_MILLIS);
				GatewayDaemon gateway = new GatewayDaemon(settings(address), PlatformAdapters.of(calls, address))) {
			gateway.start();
			for (int round = 0; round < ROUNDS; round++) {
				call(caller, gateway, "/stream/x", answered);
				call(caller, gateway, "/plain/x", answered);
				Pause.millis(PAUSE_MILLIS);
			}
		}
		catch (TTransportException ex) {
			throw new IllegalStateException("a free port was taken meanwhile", ex);
		}
		finally {
			platform.close();
			loop.close();
		}
		return answered[0] > 0;
	}

	private static void call(UpstreamClient caller, GatewayDaemon gateway, String path, int[] answered) {
		Map<String, String> headers = Map.of("host", "rehearsal.example", "authorization", "Bearer key");
		String url = "http://" + Addresses.render(gateway.callers()) + path;
		WholeAnswer.collect(caller, new UpstreamRequest("POST", url, headers, new byte[] { 1 }), MAX_ANSWER_BYTES,
				(body) -> answered[0]++);
	}

	private static GatewaySettings settings(InetSocketAddress platform) {
		return new GatewaySettings("rehearsal", "rehearsal", free(), free(), free(), free(), List.of(), platform, 1000,
				1, 1, 1000, 2000, 2000, 3000, 20_000, LogFormat.JSON, OptionalFeatures.NONE);
	}

	private static InetSocketAddress free() {
		try (ServerSocket socket = new ServerSocket(0)) {
			return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
