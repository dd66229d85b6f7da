package org.snowwind.gateway.expert;

/**
 * One rank of a group, as of its last report.
 *
 * @param serverId the run of the server
 * @param address where it listens, {@code IP:PORT}
 * @param report what it says of itself
 */
record Rank(String serverId, String address, RankReport report) {

}
