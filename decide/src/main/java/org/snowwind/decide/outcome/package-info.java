/**
 * What to do next with a request: one rule per class, listed in one registry.
 */
package org.snowwind.decide.outcome;
