/**
 * Backend servers as this process sees them, and the decisions which request goes to
 * which of them.
 *
 * <p>
 * {@link org.snowwind.gateway.backend.Admission} decides whether a request is sent, waits
 * or is turned away; a {@code GroupLimit} how full a group of ranks may be; a
 * {@code ServerPick} which server of those with room. None of them does any I/O. The load
 * that each answers, and why its thresholds are what they are, stands at its head;
 * {@code LoadModel} among the tests plays load through all of them.
 */
package org.snowwind.gateway.backend;
