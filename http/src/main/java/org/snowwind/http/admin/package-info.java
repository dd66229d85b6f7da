/**
 * Metrics, liveness and readiness on a port of their own.
 */
package org.snowwind.http.admin;
