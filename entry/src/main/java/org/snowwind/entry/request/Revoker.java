package org.snowwind.entry.request;

import java.util.function.Consumer;

import org.snowwind.decide.ledger.AttemptId;
import org.snowwind.decide.outcome.AttemptEnd;

/**
 * Asks an agent whether an attempt began, and keeps it from beginning.
 */
@FunctionalInterface
public interface Revoker {

	/**
	 * Asks.
	 * @param controlAddress the agent's control address
	 * @param agentIncarnation the run of the agent that the attempt was sent to
	 * @param id the attempt
	 * @param whenKnown gets the end of the attempt, on the loop
	 */
	void revoke(String controlAddress, long agentIncarnation, AttemptId id, Consumer<AttemptEnd> whenKnown);

}
