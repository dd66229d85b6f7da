/**
 * What began at an agent, and what never will.
 */
package org.snowwind.decide.ledger;
