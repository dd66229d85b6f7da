/**
 * Decides the next step of a request after an attempt ends. Each rule is one class, and
 * {@link org.snowwind.decide.outcome.NextStepRules} lists them in order.
 */
package org.snowwind.decide.outcome;
