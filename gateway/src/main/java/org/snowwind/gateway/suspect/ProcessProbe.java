package org.snowwind.gateway.suspect;

import java.util.function.Consumer;

/**
 * Asks whether any process listens where a server was.
 */
@FunctionalInterface
public interface ProcessProbe {

	/**
	 * Asks.
	 * @param host the server's IP number
	 * @param port the server's port
	 * @param gone is told, on the loop, true if the VM says that nobody listens there;
	 * false if somebody does, or nobody says anything
	 */
	void ask(String host, int port, Consumer<Boolean> gone);

}
