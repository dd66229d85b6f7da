/**
 * Thrift calls between snowwind's own processes.
 */
package org.snowwind.wire;
