/**
 * A caller's request from its head to its one end.
 */
package org.snowwind.entry.request;
