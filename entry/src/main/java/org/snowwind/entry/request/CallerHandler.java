package org.snowwind.entry.request;

import java.util.Optional;

import io.netty.util.concurrent.Future;
import org.apache.commons.codec.digest.DigestUtils;
import org.snowwind.config.snapshot.ResourceSet.Named;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.entry.claim.ClaimDuty;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.HttpHandler;
import org.snowwind.http.server.Responses;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.ServiceLevel;

/**
 * Takes callers' requests: who is it, where to, may it come in. Confined to the loop.
 */
public final class CallerHandler implements HttpHandler {

	private static final String BEARER = "Bearer ";

	private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private static final int MAX_KEY_CHARS = 200;

	private static final long CLAIM_RETRY_MILLIS = 2000;

	private final RequestContext context;

	private final ConfigHolder config;

	private final ClaimDuty claims;

	private boolean draining;

	/**
	 * Creates the handler.
	 * @param context what requests work with
	 * @param config holds the configuration in force
	 * @param claims claims idempotency keys
	 */
	public CallerHandler(RequestContext context, ConfigHolder config, ClaimDuty claims) {
		this.context = context;
		this.config = config;
		this.claims = claims;
	}

	/**
	 * Refuses new requests from now on.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Counts the open requests.
	 * @return a number of requests
	 */
	public int open() {
		return this.context.gates().open();
	}

	@Override
	public void handle(HttpExchange exchange) {
		Snapshot snapshot = this.config.current();
		if (this.draining || snapshot.revision() == 0) {
			turnAway(exchange, Problem.notRun(ProblemKind.NOT_READY, "this entry takes no requests now"));
			return;
		}
		Optional<Named<OrganisationSpec>> organisation = authenticate(exchange, snapshot);
		if (organisation.isEmpty()) {
			turnAway(exchange, Problem.notRun(ProblemKind.UNKNOWN_ORGANISATION, "no organisation has this key"));
			return;
		}
		RequestReader.Read<Target> target = RequestReader.target(exchange, snapshot);
		if (target.problem() != null) {
			turnAway(exchange, target.problem());
			return;
		}
		enter(exchange, organisation.get(), target.value());
	}

	// Keys are compared by their digests, which a caller cannot steer, so the look-up's
	// time tells nothing about a key.
	private static Optional<Named<OrganisationSpec>> authenticate(HttpExchange exchange, Snapshot snapshot) {
		String authorization = exchange.header("Authorization");
		if (authorization == null || !authorization.startsWith(BEARER)) {
			return Optional.empty();
		}
		String key = authorization.substring(BEARER.length()).trim();
		return snapshot.organisationByKeyDigest(DigestUtils.sha256Hex(key));
	}

	private void enter(HttpExchange exchange, Named<OrganisationSpec> organisation, Target target) {
		Problem refused = this.context.gates().enter(organisation.name(), organisation.spec());
		if (refused != null) {
			turnAway(exchange, refused);
			return;
		}
		OpenRequest open = new OpenRequest(organisation.name(), organisation.spec().serviceLevel(),
				this.context.clock().nowMillis());
		exchange.onGone(open::leave);
		exchange.readBody(organisation.spec().maxBodyBytes(), (body) -> read(exchange, target, body, open),
				open::leave);
	}

	private void read(HttpExchange exchange, Target target, byte[] body, OpenRequest open) {
		RequestReader.Read<CallerRequest> read = RequestReader.request(exchange, target, open.organisation,
				open.serviceLevel, this.config.current().policy(target.name()), body);
		if (read.problem() != null) {
			open.leave();
			turnAway(exchange, read.problem());
			return;
		}
		String key = exchange.header(IDEMPOTENCY_KEY);
		boolean claimed = key != null && !read.value().repeatable();
		if (!claimed) {
			begin(exchange, read.value(), open.arrivedMillis, (disclosure) -> open.leave());
			return;
		}
		if (key.isBlank() || key.length() > MAX_KEY_CHARS) {
			open.leave();
			turnAway(exchange, Problem.notRun(ProblemKind.BAD_HEADER, IDEMPOTENCY_KEY + " takes 1 to 200 characters"));
			return;
		}
		claim(exchange, read.value(), key, open);
	}

	private void claim(HttpExchange exchange, CallerRequest request, String key, OpenRequest open) {
		String digest = DigestUtils.sha256Hex(request.method() + ' ' + request.pathAndQuery() + '\n')
				+ DigestUtils.sha256Hex(request.body());
		long leftMillis = open.arrivedMillis + request.budgetMillis() - this.context.clock().nowMillis();
		Future<?> deadline = this.context.loop().later(() -> giveUp(exchange, open), leftMillis);
		this.claims.claim(request.organisation(), key, digest, new ClaimDuty.Decision() {
			@Override
			public void granted(ClaimDuty.Claim claim) {
				CallerHandler.this.context.loop().run(() -> {
					deadline.cancel(false);
					runClaimed(exchange, request, claim, open);
				});
			}

			@Override
			public void refused(Problem problem) {
				CallerHandler.this.context.loop().run(() -> {
					deadline.cancel(false);
					giveUp(exchange, open, problem);
				});
			}
		});
	}

	// The claim may still be granted; then it is given back, for the request has not run.
	private void giveUp(HttpExchange exchange, OpenRequest open) {
		giveUp(exchange, open,
				Problem.notRun(ProblemKind.DEADLINE_NOT_RUN, "its time ran out while its key was being claimed")
					.retryAfter(CLAIM_RETRY_MILLIS));
	}

	private void giveUp(HttpExchange exchange, OpenRequest open, Problem problem) {
		if (!open.left) {
			open.leave();
			turnAway(exchange, problem);
		}
	}

	private void runClaimed(HttpExchange exchange, CallerRequest request, ClaimDuty.Claim claim, OpenRequest open) {
		if (open.left) {
			this.claims.settle(claim, Disclosure.NOT_RUN);
			return;
		}
		begin(exchange, request, open.arrivedMillis, (disclosure) -> {
			open.leave();
			this.claims.settle(claim, disclosure);
		});
	}

	private void begin(HttpExchange exchange, CallerRequest request, long arrivedMillis,
			RequestFlow.EndListener whenEnded) {
		new RequestFlow(this.context, request, exchange, arrivedMillis, whenEnded).start();
	}

	private void turnAway(HttpExchange exchange, Problem problem) {
		this.context.meters().turnedAway(problem.kind());
		Responses.problem(exchange, problem);
	}

	/**
	 * A request that counts against its organisation's limits until it leaves, once.
	 */
	private final class OpenRequest {

		private final String organisation;

		private final ServiceLevel serviceLevel;

		private final long arrivedMillis;

		private boolean left;

		private OpenRequest(String organisation, ServiceLevel serviceLevel, long arrivedMillis) {
			this.arrivedMillis = arrivedMillis;
			this.organisation = organisation;
			this.serviceLevel = serviceLevel;
		}

		private void leave() {
			if (!this.left) {
				this.left = true;
				CallerHandler.this.context.gates().leave(this.organisation);
			}
		}

	}

}
