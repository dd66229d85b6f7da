package org.snowwind.gateway.backend;

/**
 * A backend server with room for a request.
 *
 * @param backend the server
 * @param utilization the utilization with the request, increased by failures; lower is
 * better
 * @param freeShare the free fraction of the server multiplied by that of its group; above
 * 0
 * @param local whether the server is in the data centre of this gateway
 */
record Candidate(Backend backend, double utilization, double freeShare, boolean local) {

}
