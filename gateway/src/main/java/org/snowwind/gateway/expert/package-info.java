/**
 * Keeps the experts of rank groups balanced while demand moves.
 */
package org.snowwind.gateway.expert;
