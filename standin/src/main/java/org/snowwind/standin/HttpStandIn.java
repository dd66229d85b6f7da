package org.snowwind.standin;

import java.net.InetSocketAddress;

import org.snowwind.http.DataLoop;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.HttpLimits;
import org.snowwind.http.server.HttpServer;

/**
 * A stand-in that speaks HTTP.
 */
abstract class HttpStandIn implements StandIn {

	private final DataLoop loop;

	private final HttpServer server;

	HttpStandIn(DataLoop loop) {
		this.loop = loop;
		this.server = new HttpServer(loop, HttpLimits.DEFAULT, this::handle);
	}

	/**
	 * Returns the thread that carries the stand-in.
	 * @return the loop
	 */
	final DataLoop loop() {
		return this.loop;
	}

	/**
	 * Takes one request on the loop.
	 * @param exchange the request
	 */
	abstract void handle(HttpExchange exchange);

	@Override
	public final InetSocketAddress start(InetSocketAddress address) {
		return this.server.start(address);
	}

	@Override
	public final void close() {
		this.server.close();
	}

}
