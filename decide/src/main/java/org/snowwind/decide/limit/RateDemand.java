package org.snowwind.decide.limit;

/**
 * The demand of one process for a server's rate.
 *
 * @param limitPerSecond the server's limit as far as the process knows, in requests per
 * second
 * @param wantedPerSecond the rate that the process could use, in requests per second
 * @param heldPerSecond the share that the process holds, in requests per second
 * @param waiting how many requests of the process wait for a server of this service
 */
public record RateDemand(double limitPerSecond, double wantedPerSecond, double heldPerSecond, int waiting) {

}
