package org.snowwind.gateway.request;

import java.util.random.RandomGenerator;

import org.snowwind.gateway.backend.Admission;
import org.snowwind.gateway.backend.BackendTable;
import org.snowwind.gateway.backend.RequestSizes;
import org.snowwind.gateway.suspect.Suspects;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.model.MonotonicClock;

/**
 * Components that all requests of a gateway share.
 *
 * @param loop the event loop that all of them are confined to
 * @param client sends the attempts to backend servers
 * @param dialect translates between metadata and headers
 * @param backends the backend servers
 * @param admission decides whether a request is sent, waits or is rejected
 * @param waiting the requests with a priority that wait for a server
 * @param budgets limit the retries of each service
 * @param sizes the sizes of requests, from which the memory that they need follows
 * @param answerMemory bounds what is held of servers' answers
 * @param suspects tracks requests that are suspected of crashing servers
 * @param meters record metrics
 * @param clock the monotonic clock
 * @param random spreads the times after which callers retry
 */
public record RequestContext(DataLoop loop, UpstreamClient client, BackendDialect dialect, BackendTable backends,
		Admission admission, WaitingRequests waiting, RetryBudgets budgets, RequestSizes sizes,
		AnswerMemory answerMemory, Suspects suspects, GatewayMeters meters, MonotonicClock clock,
		RandomGenerator random) {

}
