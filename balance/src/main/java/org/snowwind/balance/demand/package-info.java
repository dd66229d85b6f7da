/**
 * How much each expert is asked for, from counts that are late and have gaps.
 */
package org.snowwind.balance.demand;
