/**
 * Good and bad requests by organisation, target and cause, kept in the platform.
 */
package org.snowwind.entry.burn;
