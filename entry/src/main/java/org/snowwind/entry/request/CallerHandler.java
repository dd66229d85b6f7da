package org.snowwind.entry.request;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import io.netty.util.concurrent.Future;
import org.apache.commons.codec.digest.DigestUtils;
import org.snowwind.config.snapshot.ResourceSet.Named;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.decide.stop.StopSchedule;
import org.snowwind.entry.claim.ClaimDuty;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.HttpHandler;
import org.snowwind.http.server.Responses;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
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

	/** Other entries serve now; the spread keeps callers from coming to them at once. */
	private static final long ELSEWHERE_RETRY_MILLIS = 500;

	private static final long ELSEWHERE_SPREAD_MILLIS = 1000;

	private final RequestContext context;

	private final ConfigHolder config;

	private final ClaimDuty claims;

	private final Set<OpenRequest> openRequests = new LinkedHashSet<>();

	/** What is still taken in; {@code null} until the process stops. */
	private StopSchedule stop;

	private boolean closed;

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
	 * Takes in only what the stop's schedule allows from now on. Every connection is
	 * closed with its next answer, so that callers learn of the stop, and every open
	 * request ends before the stop does.
	 * @param schedule the stop
	 */
	public void stop(StopSchedule schedule) {
		this.stop = schedule;
		for (OpenRequest open : Set.copyOf(this.openRequests)) {
			open.exchange.closeAfterAnswer();
			open.endWithin(schedule.remainingMillis(nowMillis()));
		}
	}

	/**
	 * Refuses all requests from now on if none is open, so that none gets in between the
	 * last one's end and the end of the process.
	 * @return how many are open
	 */
	public int closeIfIdle() {
		this.closed = this.closed || open() == 0;
		return open();
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
		if (this.stop != null) {
			exchange.closeAfterAnswer();
		}
		if (this.closed || snapshot.revision().isNone()) {
			rejectRequest(exchange, notReady());
			return;
		}
		Optional<Named<OrganisationSpec>> organisation = authenticate(exchange, snapshot);
		if (organisation.isEmpty()) {
			rejectRequest(exchange, Problem.notRun(ProblemKind.UNKNOWN_ORGANISATION, "no organisation has this key"));
			return;
		}
		RequestReader.Read<Target> target = RequestReader.target(exchange, snapshot);
		if (target.problem() != null) {
			rejectRequest(exchange, target.problem());
			return;
		}
		enter(exchange, organisation.get(), target.value());
	}

	private Problem notReady() {
		return Problem.notRun(ProblemKind.NOT_READY, "this entry does not take the request now")
			.retryAfter(ELSEWHERE_RETRY_MILLIS + this.context.random().nextLong(ELSEWHERE_SPREAD_MILLIS));
	}

	// Keys are compared by their digests, which a caller cannot steer, so the look-up's
	// time tells nothing about a key. A header has one character for each octet.
	private static Optional<Named<OrganisationSpec>> authenticate(HttpExchange exchange, Snapshot snapshot) {
		String authorization = exchange.header("Authorization");
		if (authorization == null || !authorization.startsWith(BEARER)) {
			return Optional.empty();
		}
		String key = authorization.substring(BEARER.length()).trim();
		return snapshot.organisationByKeyDigest(DigestUtils.sha256Hex(key.getBytes(StandardCharsets.ISO_8859_1)));
	}

	private void enter(HttpExchange exchange, Named<OrganisationSpec> organisation, Target target) {
		Problem refused = this.context.gates().enter(organisation.name(), organisation.spec());
		if (refused != null) {
			rejectRequest(exchange, refused);
			return;
		}
		OpenRequest open = new OpenRequest(exchange, organisation.name(), organisation.spec().serviceLevel(),
				this.context.clock().nowMillis());
		this.openRequests.add(open);
		if (this.stop != null) {
			open.endWithin(this.stop.remainingMillis(nowMillis()));
		}
		exchange.onGone(open::leave);
		exchange.readBody(organisation.spec().maxBodyBytes(), (body) -> read(exchange, target, body, open),
				open::leave);
	}

	private void read(HttpExchange exchange, Target target, byte[] body, OpenRequest open) {
		if (open.left) {
			// It was told at the end of a stop that it did not run, before its body came.
			return;
		}
		RequestReader.Read<CallerRequest> read = RequestReader.request(exchange, target, open.organisation,
				open.serviceLevel, this.config.current().policy(target.name()), body);
		if (read.problem() != null) {
			open.leave();
			rejectRequest(exchange, read.problem());
			return;
		}
		if (!takes(read.value(), open)) {
			abort(open, notReady());
			return;
		}
		String key = exchange.header(IDEMPOTENCY_KEY);
		boolean claimed = key != null && !read.value().repeatable();
		if (!claimed) {
			begin(read.value(), open, (disclosure) -> open.leave());
			return;
		}
		if (key.isBlank() || key.length() > MAX_KEY_CHARS) {
			open.leave();
			rejectRequest(exchange,
					Problem.notRun(ProblemKind.BAD_HEADER, IDEMPOTENCY_KEY + " takes 1 to 200 characters"));
			return;
		}
		claim(read.value(), key, open);
	}

	// What a stop would cut off is refused while it can still run elsewhere.
	private boolean takes(CallerRequest request, OpenRequest open) {
		if (this.stop == null) {
			return true;
		}
		long neededMillis = leftMillis(request, open);
		boolean takes = this.stop.accepts(nowMillis(), nowMillis() + neededMillis);
		if (!takes) {
			EventLog.log(Event.REQUEST_REFUSED, "organisation", open.organisation, "target", request.target(),
					"neededMillis", neededMillis, "stopLeftMillis", this.stop.remainingMillis(nowMillis()), "reason",
					"stop");
		}
		return takes;
	}

	private long nowMillis() {
		return this.context.clock().nowMillis();
	}

	private long leftMillis(CallerRequest request, OpenRequest open) {
		return open.arrivedMillis + request.budgetMillis() - this.context.clock().nowMillis();
	}

	private void claim(CallerRequest request, String key, OpenRequest open) {
		String digest = DigestUtils.sha256Hex(request.method() + ' ' + request.pathAndQuery() + '\n')
				+ DigestUtils.sha256Hex(request.body());
		Future<?> deadline = this.context.loop().later(() -> abortClaim(open), leftMillis(request, open));
		this.claims.claim(request.organisation(), key, digest, new ClaimDuty.Decision() {
			@Override
			public void granted(ClaimDuty.Claim claim) {
				CallerHandler.this.context.loop().run(() -> {
					deadline.cancel(false);
					runClaimed(request, claim, open);
				});
			}

			@Override
			public void refused(Problem problem) {
				CallerHandler.this.context.loop().run(() -> {
					deadline.cancel(false);
					abort(open, problem);
				});
			}
		});
	}

	// The claim may still be granted; then it is given back, for the request has not run.
	private void abortClaim(OpenRequest open) {
		abort(open, Problem.notRun(ProblemKind.DEADLINE_NOT_RUN, "its time ran out while its key was being claimed")
			.retryAfter(CLAIM_RETRY_MILLIS));
	}

	private void abort(OpenRequest open, Problem problem) {
		if (!open.left) {
			open.leave();
			rejectRequest(open.exchange, problem);
		}
	}

	private void runClaimed(CallerRequest request, ClaimDuty.Claim claim, OpenRequest open) {
		if (!open.left && !takes(request, open)) {
			abort(open, notReady());
		}
		if (open.left) {
			this.claims.settle(claim, Disclosure.NOT_RUN);
			return;
		}
		begin(request, open, (disclosure) -> {
			open.leave();
			this.claims.settle(claim, disclosure);
		});
	}

	private void begin(CallerRequest request, OpenRequest open, RequestFlow.EndListener whenEnded) {
		open.flow = new RequestFlow(this.context, request, open.exchange, open.arrivedMillis, whenEnded);
		open.flow.start();
		if (this.stop != null) {
			open.flow.endWithin(this.stop.remainingMillis(nowMillis()));
		}
	}

	private void rejectRequest(HttpExchange exchange, Problem problem) {
		this.context.meters().turnedAway(problem.kind());
		Responses.problem(exchange, problem);
	}

	/**
	 * A request that counts against its organisation's limits until it leaves, once.
	 */
	private final class OpenRequest {

		private final HttpExchange exchange;

		private final String organisation;

		private final ServiceLevel serviceLevel;

		private final long arrivedMillis;

		/** Carries the request; {@code null} while it is read or its key is claimed. */
		private RequestFlow flow;

		private boolean left;

		private OpenRequest(HttpExchange exchange, String organisation, ServiceLevel serviceLevel, long arrivedMillis) {
			this.exchange = exchange;
			this.arrivedMillis = arrivedMillis;
			this.organisation = organisation;
			this.serviceLevel = serviceLevel;
		}

		private void endWithin(long millis) {
			if (this.flow != null) {
				this.flow.endWithin(millis);
				return;
			}
			CallerHandler.this.context.loop().later(() -> {
				if (this.flow == null) {
					abort(this, notReady());
				}
			}, millis);
		}

		private void leave() {
			if (!this.left) {
				this.left = true;
				CallerHandler.this.openRequests.remove(this);
				CallerHandler.this.context.gates().leave(this.organisation);
			}
		}

	}

}
