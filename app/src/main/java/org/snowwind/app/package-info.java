/**
 * The one binary.
 */
package org.snowwind.app;
