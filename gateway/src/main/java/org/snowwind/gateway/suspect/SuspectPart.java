package org.snowwind.gateway.suspect;

/**
 * A part of the prompt of a request that was sent to a server.
 *
 * @param key the service and the id of the part
 * @param depth its position in the prompt, 0 for the first
 * @param knownRounds how many rounds of ends under the part were known when the request
 * was sent
 */
public record SuspectPart(String key, int depth, int knownRounds) {

	@Override
	public String toString() {
		return this.key;
	}

}
