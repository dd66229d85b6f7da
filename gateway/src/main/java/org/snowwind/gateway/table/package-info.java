/**
 * The routes, services, keys and limits in force, and how they come in force.
 */
package org.snowwind.gateway.table;
