/**
 * Handles a caller's request from its arrival to the end of its response.
 */
package org.snowwind.gateway.request;
