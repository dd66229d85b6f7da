/**
 * Checks received bytes against the grammar of HTTP/1.1 responses (RFC 9110, RFC 9112).
 */
package org.snowwind.http.client.syntax;
