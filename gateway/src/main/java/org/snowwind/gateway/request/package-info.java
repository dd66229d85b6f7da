/**
 * The life of a caller's request.
 */
package org.snowwind.gateway.request;
