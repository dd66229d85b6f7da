/**
 * The loop that carries all HTTP of a process.
 */
package org.snowwind.http;
