/**
 * Small stand-ins for the platform and the back ends, for tests, measurements and the
 * trial run.
 */
package org.snowwind.standin;
