package org.snowwind.http.server;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads what the kernel holds for a channel without waiting for the event loop's next
 * pass, so that nothing that has arrived is missed before the channel is closed.
 */
final class KernelReads {

	private KernelReads() {
	}

	/**
	 * Reads once, and handles what was read.
	 * @param channel a channel whose event loop is the calling thread
	 */
	static void read(Channel channel) {
		if (channel.isOpen() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
			unsafe.read();
		}
	}

}
