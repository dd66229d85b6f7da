package org.snowwind.gateway.backend;

/**
 * A backend server with room for a request.
 *
 * @param backend the server
 * @param fullness what the request would meet there, lower is better
 * @param roomShare the part of the server, and of its group, that is free; above 0
 * @param near whether it is in the own data centre
 */
record Candidate(Backend backend, double fullness, double roomShare, boolean near) {

}
