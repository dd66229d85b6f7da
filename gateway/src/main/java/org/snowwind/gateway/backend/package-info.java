/**
 * The state of backend servers as known to this process, and the decisions which request
 * is sent to which server.
 *
 * <p>
 * {@link org.snowwind.gateway.backend.Admission} decides whether a request is sent, waits
 * or is rejected. A {@code GroupLimit} decides how many requests a group of ranks may
 * have. A {@code ServerPick} selects one of the servers with free capacity. None of them
 * does any I/O. Their class comments describe the load situations that they handle and
 * the reasons for their thresholds. {@code LoadModel} in the tests simulates load on all
 * of them.
 */
package org.snowwind.gateway.backend;
