/**
 * The switch of a group from one expert map to the next, so that no step mixes two.
 */
package org.snowwind.balance.handover;
