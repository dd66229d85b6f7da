package org.snowwind.config.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Addresses by IP number, as {@code IP:PORT}.
 */
public final class Addresses {

	private static final String OCTET = "(?:25[0-5]|2[0-4]\\d|[01]?\\d{1,2})";

	/** A text of another form would be looked up as the name of a host. */
	private static final Pattern FORM = Pattern
		.compile("(" + OCTET + "(?:\\." + OCTET + "){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");

	private static final int MAX_PORT = 65_535;

	private Addresses() {
	}

	/**
	 * Reads an address.
	 * @param text the address
	 * @return the address, empty if the text is none
	 */
	public static Optional<InetSocketAddress> parse(String text) {
		java.util.regex.Matcher matcher = FORM.matcher(text);
		if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
			return Optional.empty();
		}
		try {
			InetAddress ip = InetAddress.getByName(matcher.group(1));
			return Optional.of(new InetSocketAddress(ip, Integer.parseInt(matcher.group(2))));
		}
		catch (UnknownHostException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Renders an address.
	 * @param address the address
	 * @return {@code IP:PORT}
	 */
	public static String render(InetSocketAddress address) {
		String ip = address.getAddress().getHostAddress();
		return (ip.indexOf(':') >= 0) ? "[" + ip + "]:" + address.getPort() : ip + ":" + address.getPort();
	}

}
