package org.snowwind.app.load;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.client.UpstreamListener;
import org.snowwind.http.client.UpstreamRequest;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.standin.StandInPlainService;
import org.snowwind.standin.Tokens;

/**
 * One call that knows its right answer and compares every byte with it.
 */
final class CheckedCall implements UpstreamListener {

	private static final int OK = 200;

	private static final int PROBLEM = 400;

	/** How long after its budget an answer may come before it counts as late. */
	private static final long GRACE_MILLIS = 100;

	private static final double NANOS_PER_MILLI = 1e6;

	private final CallPlan plan;

	private final Caller caller;

	private final String tag;

	private final LoadStatistics statistics;

	private final Consumer<CallRecord> whenEnded;

	private final String expected;

	private final ByteArrayOutputStream received = new ByteArrayOutputStream();

	private final long startNanos = System.nanoTime();

	private long lastNanos;

	private int status;

	private String disclosure = "";

	CheckedCall(CallPlan plan, Caller caller, String tag, LoadStatistics statistics, Consumer<CallRecord> whenEnded) {
		this.plan = plan;
		this.caller = caller;
		this.tag = tag;
		this.statistics = statistics;
		this.whenEnded = whenEnded;
		this.expected = expectedAnswer();
	}

	private String prompt() {
		StringBuilder prompt = new StringBuilder(this.tag);
		while (prompt.length() < this.plan.promptChars()) {
			prompt.append(" and on");
		}
		return prompt.toString();
	}

	private String path() {
		return switch (this.plan.kind()) {
			case GENERATE -> "/v1/models/" + this.plan.model() + "/generate";
			case LOOKUP -> "/v1/services/" + this.plan.service() + "/lookup";
			case CHARGE -> "/v1/services/" + this.plan.service() + "/charge";
		};
	}

	private String expectedAnswer() {
		return switch (this.plan.kind()) {
			case GENERATE -> Tokens.answer(prompt(), this.plan.maxTokens());
			case LOOKUP -> plainAnswer("GET", "/lookup", 0);
			case CHARGE -> plainAnswer("POST", "/charge", body().length);
		};
	}

	private String plainAnswer(String method, String path, int bytes) {
		return "{\"method\":\"" + method + "\",\"path\":\"" + path + "\",\"tag\":\"" + this.tag + "\",\"bytes\":"
				+ bytes + "}\n";
	}

	private byte[] body() {
		String text = switch (this.plan.kind()) {
			case GENERATE -> "{\"prompt\":\"" + prompt() + "\",\"maxTokens\":" + this.plan.maxTokens() + "}";
			case LOOKUP -> "";
			case CHARGE -> "{\"charge\":\"" + this.tag + "\"}";
		};
		return text.getBytes(StandardCharsets.UTF_8);
	}

	void send(UpstreamClient client, String entryUrl) {
		Map<String, String> headers = new HashMap<>();
		headers.put("Authorization", "Bearer " + this.caller.key());
		headers.put("X-Snowwind-Budget-Millis", Long.toString(this.plan.budgetMillis()));
		headers.put(StandInPlainService.TAG, this.tag);
		String method = (this.plan.kind() == CallKind.LOOKUP) ? "GET" : "POST";
		client.send(new UpstreamRequest(method, entryUrl + path(), headers, body()), this);
	}

	@Override
	public void onHead(int answerStatus, Map<String, String> headers) {
		this.status = answerStatus;
		this.disclosure = headers.getOrDefault("x-snowwind-outcome", "");
	}

	@Override
	public void onBytes(byte[] bytes) {
		long nowNanos = System.nanoTime();
		if (this.status == OK && this.plan.kind() == CallKind.GENERATE) {
			if (this.lastNanos == 0) {
				this.statistics.firstToken(this.caller.organisation(), nowNanos - this.startNanos);
			}
			else {
				this.statistics.betweenTokens(nowNanos - this.lastNanos);
			}
			this.lastNanos = nowNanos;
		}
		this.received.writeBytes(bytes);
	}

	@Override
	public void onEnd() {
		end(outcomeAtEnd());
	}

	private CallOutcome outcomeAtEnd() {
		if (this.status == OK) {
			boolean own = this.received.toString(StandardCharsets.UTF_8).equals(this.expected);
			return own ? CallOutcome.ANSWERED : CallOutcome.WRONG;
		}
		if (Disclosure.NOT_RUN.headerValue().equals(this.disclosure)) {
			return CallOutcome.NOT_RUN;
		}
		boolean ran = Disclosure.UNKNOWN.headerValue().equals(this.disclosure)
				|| Disclosure.FAILED.headerValue().equals(this.disclosure);
		return ran ? CallOutcome.UNKNOWN : CallOutcome.REJECTED;
	}

	@Override
	public void onFailure(boolean maybeSent, Throwable cause) {
		String soFar = this.received.toString(StandardCharsets.UTF_8);
		boolean foreign = this.status == OK && !this.expected.startsWith(soFar);
		if (foreign) {
			end(CallOutcome.WRONG);
			return;
		}
		end(maybeSent ? CallOutcome.BROKEN : CallOutcome.NOT_RUN);
	}

	private void end(CallOutcome outcome) {
		long elapsedMillis = Math.round((System.nanoTime() - this.startNanos) / NANOS_PER_MILLI);
		boolean late = elapsedMillis > this.plan.budgetMillis() + GRACE_MILLIS;
		this.whenEnded.accept(new CallRecord(this.plan.kind(), this.caller.organisation(), this.tag, outcome,
				this.status, code(), elapsedMillis, late));
	}

	private String code() {
		if (this.status < PROBLEM) {
			return "";
		}
		String text = this.received.toString(StandardCharsets.UTF_8);
		int start = text.indexOf("\"code\":\"");
		int end = text.indexOf('"', start + 8);
		return (start < 0 || end < 0) ? "" : text.substring(start + 8, end);
	}

}
