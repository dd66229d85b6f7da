package org.snowwind.gateway.suspect;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * What a request has in common each time that its caller sends it: organisation, method,
 * host, path with query, and body. Not its id, which differs each time, nor headers,
 * which tell of one sending.
 */
public final class RequestDigest {

	/** So much of the hash that nobody finds two requests with the same one, in bytes. */
	private static final int KEPT_BYTES = 16;

	private RequestDigest() {
	}

	/**
	 * Computes the digest of a request, which tells nothing of its contents but the
	 * length of its body.
	 * @param organisation whose it is, {@code null} if nobody's
	 * @param method the HTTP method
	 * @param host the host as sent, {@code null} for none
	 * @param target path and query as sent
	 * @param body the body
	 * @return the length of the body and a hash, with a hyphen between
	 */
	public static String of(String organisation, String method, String host, String target, byte[] body) {
		MessageDigest hash = sha256();
		for (String part : new String[] { organisation, method, host, target }) {
			hash.update(String.valueOf(part).getBytes(StandardCharsets.UTF_8));
			hash.update((byte) 0);
		}
		byte[] whole = hash.digest(body);
		return body.length + "-" + HexFormat.of().formatHex(whole, 0, KEPT_BYTES);
	}

	/**
	 * Reads the length of the body out of a digest.
	 * @param digest the digest
	 * @return the length in bytes, -1 if it is no digest
	 */
	static int bodyBytesOf(String digest) {
		int hyphen = digest.indexOf('-');
		try {
			return (hyphen > 0) ? Integer.parseInt(digest, 0, hyphen, 10) : -1;
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java runtime has SHA-256", ex);
		}
	}

}
