package org.snowwind.http.client.syntax;

import java.util.BitSet;

/**
 * The character classes of RFC 9110, for octets from 0 to 255.
 */
final class Octets {

	private static final BitSet TOKEN = new BitSet();

	static {
		TOKEN.set('0', '9' + 1);
		TOKEN.set('A', 'Z' + 1);
		TOKEN.set('a', 'z' + 1);
		"!#$%&'*+-.^_`|~".chars().forEach(TOKEN::set);
	}

	private Octets() {
	}

	/**
	 * Returns whether an octet may stand in a token (RFC 9110, 5.6.2).
	 * @param octet the octet, from 0 to 255
	 * @return whether it may
	 */
	static boolean isToken(int octet) {
		return TOKEN.get(octet);
	}

	/**
	 * Returns whether an octet may stand in text: HTAB, SP, VCHAR or obs-text.
	 * @param octet the octet, from 0 to 255
	 * @return whether it may
	 */
	static boolean isText(int octet) {
		return octet == '\t' || (octet >= ' ' && octet != 0x7f);
	}

	/**
	 * Returns whether an octet is a blank.
	 * @param octet the octet, from 0 to 255
	 * @return whether it is SP or HTAB
	 */
	static boolean isBlank(int octet) {
		return octet == ' ' || octet == '\t';
	}

	/**
	 * Returns whether an octet separates the words of a status line for a lenient
	 * recipient (RFC 9112, 4).
	 * @param octet the octet, from 0 to 255
	 * @return whether it does
	 */
	static boolean isStatusLineBlank(int octet) {
		return isBlank(octet) || octet == 0x0b || octet == '\f' || octet == '\r';
	}

	/**
	 * Returns whether an octet is a decimal digit.
	 * @param octet the octet, from 0 to 255
	 * @return whether it is
	 */
	static boolean isDigit(int octet) {
		return octet >= '0' && octet <= '9';
	}

}
