/**
 * Computes how fast the error budget of a service level is used up.
 */
package org.snowwind.decide.burn;
