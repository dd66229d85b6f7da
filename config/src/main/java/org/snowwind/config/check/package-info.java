/**
 * Checks of resources: one check per class, listed in one registry.
 */
package org.snowwind.config.check;
