/**
 * Work that waits and work that runs before one back end.
 */
package org.snowwind.agent.admission;
