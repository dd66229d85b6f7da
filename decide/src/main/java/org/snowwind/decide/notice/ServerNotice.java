package org.snowwind.decide.notice;

import org.snowwind.decide.limit.NamedLimit;

/**
 * What one response head says about the near future of its server.
 *
 * @param limit the rate that the server takes from all gateways together
 * @param retryAfterMillis how long the server wants no requests from this gateway, in
 * milliseconds; 0 if it does not say
 * @param leaving whether the server announces that it is leaving
 * @param unreadable header values that cannot be read, empty if there are none
 */
public record ServerNotice(NamedLimit limit, long retryAfterMillis, boolean leaving, String unreadable) {

	/** A head that says nothing. */
	public static final ServerNotice NONE = new ServerNotice(NamedLimit.NONE, 0, false, "");

}
