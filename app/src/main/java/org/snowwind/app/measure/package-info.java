/**
 * Measurements: each prints its figures beside their baselines and targets.
 */
package org.snowwind.app.measure;
