/**
 * The process on a backend server's VM: last point of admission, ledger and drain.
 */
package org.snowwind.agent;
