/**
 * Tracks which attempts have begun at an agent and which never will.
 */
package org.snowwind.decide.ledger;
