/**
 * Other gateways, and what they tell each other.
 */
package org.snowwind.gateway.peer;
