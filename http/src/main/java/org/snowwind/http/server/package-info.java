/**
 * An HTTP server over Netty that streams answers and keeps memory bounded.
 */
package org.snowwind.http.server;
