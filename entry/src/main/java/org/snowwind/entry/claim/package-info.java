/**
 * Idempotency keys, claimed in the platform before the work runs.
 */
package org.snowwind.entry.claim;
