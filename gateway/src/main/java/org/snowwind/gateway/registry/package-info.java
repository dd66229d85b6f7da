/**
 * Which backend servers there are, and how that is learnt.
 */
package org.snowwind.gateway.registry;
