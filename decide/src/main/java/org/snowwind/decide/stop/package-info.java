/**
 * Decides which requests a process still accepts while it shuts down gracefully.
 */
package org.snowwind.decide.stop;
