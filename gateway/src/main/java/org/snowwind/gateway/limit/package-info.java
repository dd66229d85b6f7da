/**
 * Enforces the limits that servers set on their total request rate from all gateways.
 */
package org.snowwind.gateway.limit;
