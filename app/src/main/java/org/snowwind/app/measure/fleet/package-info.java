/**
 * Many members in one process: how configuration spreads and what control costs.
 */
package org.snowwind.app.measure.fleet;
