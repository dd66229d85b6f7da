package org.snowwind.gateway.request;

import java.util.List;

import org.snowwind.decide.outcome.AttemptEnd;

/**
 * Is told how an attempt fares, on the loop, and nothing more after its end.
 */
interface AttemptListener {

	/**
	 * A credible answer begins.
	 * @param answer the answer, without a body
	 */
	void answerBegins(AnswerBuffer answer);

	/**
	 * Events of a stream are whole that the caller does not have.
	 * @param events the events, at least one
	 */
	void eventsArrived(List<StreamEvent> events);

	/**
	 * The attempt has ended.
	 * @param end how
	 */
	void attemptEnded(AttemptEnd end);

}
