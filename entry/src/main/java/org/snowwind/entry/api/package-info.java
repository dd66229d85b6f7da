/**
 * The resource API for operators.
 */
package org.snowwind.entry.api;
