/**
 * Rate limits that a server sets for all processes together, and how processes share
 * them.
 */
package org.snowwind.decide.limit;
