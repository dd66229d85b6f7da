package org.snowwind.entry.request;

import java.util.random.RandomGenerator;

import org.snowwind.entry.burn.BurnCounter;
import org.snowwind.entry.limit.OrganisationGates;
import org.snowwind.entry.member.AttemptSequence;
import org.snowwind.entry.member.ServerTable;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.model.MonotonicClock;

/**
 * What every request of an entry works with.
 *
 * @param loop the thread that owns them all
 * @param client carries the attempts
 * @param servers the servers to choose from
 * @param gates the organisations' limits
 * @param sequence gives out attempt ids
 * @param revoker asks agents about lost attempts
 * @param meters counts
 * @param burn counts good and bad requests
 * @param clock tells the time
 * @param random spreads the times to come back
 * @param fleetCredential shared by all processes of the fleet
 * @param streamStallMillis the pause after which another server continues an answer if
 * one can, in milliseconds
 */
public record RequestContext(DataLoop loop, UpstreamClient client, ServerTable servers, OrganisationGates gates,
		AttemptSequence sequence, Revoker revoker, RequestMeters meters, BurnCounter burn, MonotonicClock clock,
		RandomGenerator random, String fleetCredential, long streamStallMillis) {

}
