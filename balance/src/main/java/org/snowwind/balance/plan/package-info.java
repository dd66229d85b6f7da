/**
 * Plans which ranks hold which experts, and computes the cost of getting there.
 */
package org.snowwind.balance.plan;
