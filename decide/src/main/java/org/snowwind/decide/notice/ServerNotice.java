package org.snowwind.decide.notice;

import org.snowwind.decide.limit.AnnouncedLimit;

/**
 * What a response head announces about the requests that its server will accept next.
 *
 * @param limit the rate limit of the server for all gateways together
 * @param retryAfterMillis how long this gateway must send no requests to the server, in
 * milliseconds; 0 if the server names no delay
 * @param leaving whether the server announces that it is leaving
 * @param coldMillis for how long the server stays cold, in milliseconds; 0 if it names no
 * time
 * @param unreadable header values that cannot be parsed, empty if there are none
 */
public record ServerNotice(AnnouncedLimit limit, long retryAfterMillis, boolean leaving, long coldMillis,
		String unreadable) {

	/** The notice of a head that announces nothing. */
	public static final ServerNotice NONE = new ServerNotice(AnnouncedLimit.NONE, 0, false, "");

	/**
	 * Creates the notice of a server that names no cold time.
	 * @param limit the rate limit of the server
	 * @param retryAfterMillis how long this gateway must send no requests, in
	 * milliseconds
	 * @param leaving whether the server announces that it is leaving
	 * @param unreadable header values that cannot be parsed
	 */
	public ServerNotice(AnnouncedLimit limit, long retryAfterMillis, boolean leaving, String unreadable) {
		this(limit, retryAfterMillis, leaving, 0, unreadable);
	}

}
