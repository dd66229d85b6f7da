package org.snowwind.http.client;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * Bounds the bytes of all unfinished responses of a client. Confined to the client's I/O
 * thread.
 *
 * <p>
 * Above the sum the largest response fails, so that servers whose responses never end do
 * not fail the smaller ones of others.
 */
final class UnfinishedResponses {

	private final long maxTotalBytes;

	private final Set<ReceivedBytes> responses = new HashSet<>();

	private long totalBytes;

	/**
	 * Creates a bound, with nothing received.
	 * @param maxTotalBytes what all unfinished responses may have, in bytes
	 */
	UnfinishedResponses(long maxTotalBytes) {
		this.maxTotalBytes = maxTotalBytes;
	}

	/**
	 * Adds bytes of a response. May fail it or others.
	 * @param response the response
	 * @param received the number of bytes
	 */
	void add(ReceivedBytes response, int received) {
		this.responses.add(response);
		this.totalBytes += received;
		while (this.totalBytes > this.maxTotalBytes) {
			ReceivedBytes largest = this.responses.stream()
				.max(Comparator.comparingLong(ReceivedBytes::bytes))
				.orElseThrow();
			remove(largest);
			largest.fail("unfinished responses together have more than " + this.maxTotalBytes + " bytes");
		}
	}

	/**
	 * Removes a response that has ended. Removing it again changes nothing.
	 * @param response the response
	 */
	void remove(ReceivedBytes response) {
		if (this.responses.remove(response)) {
			this.totalBytes -= response.bytes();
		}
	}

}
