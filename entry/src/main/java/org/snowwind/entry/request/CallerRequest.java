package org.snowwind.entry.request;

import java.util.Map;

import org.snowwind.model.resource.RoutingPolicySpec;
import org.snowwind.model.resource.ServiceLevel;

/**
 * A caller's request, checked and ready to be sent.
 *
 * @param organisation whose request it is
 * @param target the name of the service or model group
 * @param engine whether the target is a model group
 * @param method the HTTP method
 * @param pathAndQuery what stands behind the target's name
 * @param headers the caller's headers that go to the back end
 * @param body the body
 * @param repeatable whether the work may run more than once
 * @param cost what it costs, for fairness
 * @param affinityHash a hash of what it shares with other requests
 * @param budgetMillis the time it may take, in milliseconds
 * @param serviceLevel what its organisation is promised
 * @param policy how it is routed
 */
record CallerRequest(String organisation, String target, boolean engine, String method, String pathAndQuery,
		Map<String, String> headers, byte[] body, boolean repeatable, double cost, long affinityHash, long budgetMillis,
		ServiceLevel serviceLevel, RoutingPolicySpec policy) {

	AnswerTracker newTracker(int resumeAt) {
		return this.engine ? new EngineAnswer(resumeAt) : new PlainAnswer();
	}

}
