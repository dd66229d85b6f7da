package org.snowwind.http.client;

import org.asynchttpclient.uri.Uri;

/**
 * Builds the library's URIs without parsing the request target.
 *
 * <p>
 * The library resolves dot segments and drops fragments of the URLs that it parses. Where
 * the whole target stands in the place of the path it is sent as it is.
 */
final class UnparsedUri {

	private static final String AFTER_SCHEME = "://";

	private UnparsedUri() {
	}

	/**
	 * Builds the URI of a request.
	 * @param origin scheme, host and port
	 * @param target the request target
	 * @return the URI that is sent with exactly this target
	 */
	static Uri of(String origin, String target) {
		Uri parsed = Uri.create(origin);
		return new Uri(parsed.getScheme(), null, parsed.getHost(), parsed.getPort(), target, null, null);
	}

	/**
	 * Builds the URI of a URL.
	 * @param url the absolute URL
	 * @return the URI that is sent with what follows the authority as its target
	 */
	static Uri of(String url) {
		int end = endOfOrigin(url);
		return of(url.substring(0, end), url.substring(end));
	}

	/**
	 * Finds where the target of a URL begins.
	 * @param url the absolute URL
	 * @return the index of the first character after the authority
	 */
	static int endOfOrigin(String url) {
		int end = url.indexOf(AFTER_SCHEME) + AFTER_SCHEME.length();
		while (end < url.length() && url.charAt(end) != '/' && url.charAt(end) != '?' && url.charAt(end) != '#') {
			end++;
		}
		return end;
	}

}
