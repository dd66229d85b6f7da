/**
 * Decides what silence means: whether a silent attempt gets a replacement beside it, and
 * how much of the time this process could observe others.
 */
package org.snowwind.decide.silence;
