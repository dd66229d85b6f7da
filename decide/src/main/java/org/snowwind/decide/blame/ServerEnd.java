package org.snowwind.decide.blame;

/**
 * Records that a request was at a server when the process of the server ended.
 *
 * @param request the digest of the request
 * @param server the incarnation of the server
 */
public record ServerEnd(String request, String server) {

}
