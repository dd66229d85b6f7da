/**
 * Settings files: read whole, checked whole, every fault listed at once.
 */
package org.snowwind.config.settings;
