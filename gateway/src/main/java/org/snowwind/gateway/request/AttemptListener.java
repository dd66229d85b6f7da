package org.snowwind.gateway.request;

import java.util.List;

import org.snowwind.decide.outcome.AttemptEnd;

/**
 * Is notified of the progress of an attempt. All methods are called on the event loop,
 * and none after the attempt has ended.
 */
interface AttemptListener {

	/**
	 * Called when the head of a credible response has arrived.
	 * @param attempt the attempt
	 * @param response the response, with an empty body
	 */
	void onResponseStart(Attempt attempt, ResponseBuffer response);

	/**
	 * Called when complete events of a stream have arrived that the caller does not have.
	 * @param attempt the attempt
	 * @param events the events, at least one
	 */
	void onEvents(Attempt attempt, List<StreamEvent> events);

	/**
	 * Called when the server has sent nothing for longer than its limit, and again while
	 * that lasts.
	 * @param attempt the attempt
	 */
	void onSilent(Attempt attempt);

	/**
	 * Called when the attempt has ended.
	 * @param attempt the attempt
	 * @param end how the attempt ended
	 */
	void onAttemptEnd(Attempt attempt, AttemptEnd end);

}
