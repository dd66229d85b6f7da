/**
 * Numbered log events.
 */
package org.snowwind.model.event;
