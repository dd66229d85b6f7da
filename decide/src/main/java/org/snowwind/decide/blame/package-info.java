/**
 * Identifies the requests that end the processes of the servers that run them.
 */
package org.snowwind.decide.blame;
