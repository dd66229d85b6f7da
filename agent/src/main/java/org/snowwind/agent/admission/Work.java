package org.snowwind.agent.admission;

import org.snowwind.agent.backend.BackendCall;
import org.snowwind.decide.ledger.AttemptId;
import org.snowwind.http.server.HttpExchange;

/**
 * One attempt at this agent.
 *
 * @param id the attempt
 * @param organisation whose request it is
 * @param call what to do
 * @param cost what it costs, for fairness
 * @param deadlineMillis when it is of no more use, in milliseconds of this process's
 * clock
 * @param repeatable whether it may run more than once
 * @param exchange the way to answer
 */
public record Work(AttemptId id, String organisation, BackendCall call, double cost, long beginByMillis,
		long deadlineMillis, boolean repeatable, HttpExchange exchange) {

}
