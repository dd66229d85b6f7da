/**
 * The configuration in force: an immutable snapshot with a revision that never falls.
 */
package org.snowwind.config.snapshot;
