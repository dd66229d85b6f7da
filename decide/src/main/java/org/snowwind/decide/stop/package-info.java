/**
 * What a process that stops still takes in.
 */
package org.snowwind.decide.stop;
