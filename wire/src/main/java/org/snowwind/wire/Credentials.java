package org.snowwind.wire;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import org.snowwind.wire.generated.Refused;

/**
 * Compares credentials in constant time.
 */
public final class Credentials {

	private Credentials() {
	}

	/**
	 * Tells whether two credentials are the same.
	 * @param expected the right one
	 * @param given the one that was sent, may be {@code null}
	 * @return true if they are
	 */
	public static boolean same(String expected, String given) {
		byte[] left = expected.getBytes(StandardCharsets.UTF_8);
		byte[] right = (given != null) ? given.getBytes(StandardCharsets.UTF_8) : new byte[0];
		return MessageDigest.isEqual(left, right);
	}

	/**
	 * Refuses a call with a wrong credential.
	 * @param expected the right one
	 * @param given the one that was sent
	 * @throws Refused if they differ
	 */
	public static void require(String expected, String given) throws Refused {
		if (!same(expected, given)) {
			throw new Refused("bad-credential", "set the same fleet.credential in all processes of the fleet");
		}
	}

}
