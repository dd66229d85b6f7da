/**
 * The exchange of reports, documents and confirmations with the other gateways.
 */
package org.snowwind.gateway.peer;
