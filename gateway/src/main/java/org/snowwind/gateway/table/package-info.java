/**
 * The routes, services, keys and limits in force, and how new versions are applied.
 */
package org.snowwind.gateway.table;
