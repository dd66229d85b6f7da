package org.snowwind.http.server;

/**
 * How a connection was used until a request came on it.
 *
 * @param ageMillis how long it had been open, in milliseconds
 * @param earlierRequests how many requests it had carried before
 */
public record ConnectionUse(long ageMillis, int earlierRequests) {

}
