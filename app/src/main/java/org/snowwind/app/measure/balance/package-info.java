/**
 * Skew and moved bytes of expert maps on drifting demand, against baselines.
 */
package org.snowwind.app.measure.balance;
