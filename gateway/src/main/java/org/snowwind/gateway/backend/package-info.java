/**
 * Backend servers as this process sees them, and the choice among them.
 */
package org.snowwind.gateway.backend;
