package org.snowwind.gateway.request;

import org.snowwind.gateway.backend.ServiceOutage;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Describes to the caller why a request has failed and when to retry it. Confined to the
 * event loop.
 */
final class RequestProblems {

	private final RequestContext context;

	private final CallerRequest request;

	private final RequestSuspicion suspicion;

	private final Timing timing;

	/**
	 * Creates the descriptions for one request.
	 * @param context the components that requests share
	 * @param request the request
	 * @param suspicion whether the request is suspected of crashing servers
	 */
	RequestProblems(RequestContext context, CallerRequest request, RequestSuspicion suspicion) {
		this.context = context;
		this.request = request;
		this.suspicion = suspicion;
		this.timing = Timing.of(request.route());
	}

	/**
	 * Describes a failure.
	 * @param disclosure whether the request ran
	 * @param kind the reason
	 * @param remainingMillis the time until the request's deadline, in milliseconds
	 * @param queueMillis the queueing delay until the request could be sent to a
	 * rate-limited server, in milliseconds; 0 if it is not known
	 * @return the problem, with a retry delay if the request did not run
	 */
	Problem describe(Disclosure disclosure, ProblemKind kind, long remainingMillis, long queueMillis) {
		String detail = (kind == ProblemKind.ENDS_SERVERS) ? endsServersDetail() : kind.remedy();
		Problem problem = new Problem(kind, detail, disclosure, 0);
		if (disclosure != Disclosure.NOT_RUN || kind == ProblemKind.TOO_MANY_TOKENS) {
			return problem;
		}
		ServiceOutage outage = this.context.backends().outage(this.request.service());
		long returnMillis = outage.millisToReturn(this.context.clock().nowMillis());
		if (returnMillis > 0) {
			return problem
				.retryAfter(this.timing.retryAfterReturnMillis(remainingMillis, returnMillis, this.context.random()));
		}
		return problem.retryAfter(
				this.timing.retryAfterMillis(remainingMillis, outage.total(), queueMillis, this.context.random()));
	}

	private String endsServersDetail() {
		String part = this.suspicion.blamedPart();
		return (part != null) ? "several servers ended while they ran requests with this part of the prompt: " + part
				: "several servers ended while they ran this request, digest " + this.suspicion.digest();
	}

}
