/**
 * An entry that sends straight to backend servers which prove by themselves what did not
 * run.
 */
package org.snowwind.gateway;
