/**
 * Tells the silence of others from pauses of this process.
 */
package org.snowwind.decide.silence;
