/**
 * The protocols of engines and plain services.
 */
package org.snowwind.agent.backend;
