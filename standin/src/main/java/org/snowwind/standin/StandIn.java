package org.snowwind.standin;

import java.net.InetSocketAddress;

/**
 * A stand-in that listens on one address.
 */
public interface StandIn extends AutoCloseable {

	/**
	 * Begins to listen.
	 * @param address where; port 0 takes any free port
	 * @return the address that it listens on
	 */
	InetSocketAddress start(InetSocketAddress address);

	@Override
	void close();

}
