/**
 * Estimates the demand for each expert from counts that arrive late and have gaps.
 */
package org.snowwind.balance.demand;
