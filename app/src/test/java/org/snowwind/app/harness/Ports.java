package org.snowwind.app.harness;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Free ports below those that the system gives to outgoing connections, each given once.
 */
public final class Ports {

	private static final AtomicInteger NEXT = new AtomicInteger(
			10_000 + (int) (ProcessHandle.current().pid() % 1000) * 20);

	private Ports() {
	}

	/**
	 * Finds a port on which nobody listens.
	 * @return the port
	 * @throws IOException if ports cannot be tried
	 */
	public static int free() throws IOException {
		while (true) {
			int port = NEXT.getAndIncrement();
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (BindException ex) {
				// Somebody listens there; the next one is tried.
			}
		}
	}

}
