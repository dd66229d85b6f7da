/**
 * Which ranks should hold which experts, and what it costs to get there.
 */
package org.snowwind.balance.plan;
