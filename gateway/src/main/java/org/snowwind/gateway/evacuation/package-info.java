/**
 * Evacuation of data centres, whose servers get no new requests.
 */
package org.snowwind.gateway.evacuation;
