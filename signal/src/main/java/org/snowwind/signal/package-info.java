/**
 * Signals of the operating system that the JDK has no public interface for.
 */
package org.snowwind.signal;
