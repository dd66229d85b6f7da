/**
 * Tells the life of one request, or why those of a period were lost, from the log lines
 * of all processes.
 */
package org.snowwind.app.explain;
