/**
 * Switches a group of ranks from one expert map to the next, so that no step runs on two
 * maps.
 */
package org.snowwind.balance.handover;
