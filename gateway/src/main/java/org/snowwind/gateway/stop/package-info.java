/**
 * How a gateway stops: what it still takes, until when, and in which order it closes.
 */
package org.snowwind.gateway.stop;
