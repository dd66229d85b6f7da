/**
 * The process on an entry VM.
 */
package org.snowwind.entry;
