/**
 * A randomized soak: real gateways as processes, faults from outside them, and checks of
 * what callers and backend servers saw.
 */
package org.snowwind.app.soak;
