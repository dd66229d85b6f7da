/**
 * The registry of backend servers, and how it is kept up to date.
 */
package org.snowwind.gateway.registry;
