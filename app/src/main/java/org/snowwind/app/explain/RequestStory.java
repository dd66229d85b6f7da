package org.snowwind.app.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.model.event.Event;

/**
 * The life of one request in order, with the cause of its end last.
 */
public final class RequestStory {

	private static final Set<String> PLAIN_FIELDS = Set.of("time", "level", "event", "message", "request");

	private final String requestId;

	private final List<LogLine> lines;

	private RequestStory(String requestId, List<LogLine> lines) {
		this.requestId = requestId;
		this.lines = List.copyOf(lines);
	}

	/**
	 * Collects what was logged of a request.
	 * @param requestId the request's id
	 * @param logged log lines of all processes, in any order
	 * @return the story
	 */
	public static RequestStory of(String requestId, List<String> logged) {
		List<LogLine> lines = logged.stream()
			.filter((text) -> text.contains(requestId))
			.flatMap((text) -> LogLine.parse(text).stream())
			.filter((line) -> line.text("request").equals(requestId))
			.sorted(Comparator.comparing(LogLine::time))
			.toList();
		return new RequestStory(requestId, lines);
	}

	/**
	 * Tells whether anything was logged of the request.
	 * @return false if no line names it
	 */
	public boolean known() {
		return !this.lines.isEmpty();
	}

	/**
	 * Renders the story.
	 * @return a line for each step, and the cause last
	 */
	public List<String> render() {
		List<String> rendered = new ArrayList<>();
		Instant begin = this.lines.isEmpty() ? Instant.EPOCH : this.lines.get(0).time();
		for (LogLine line : this.lines) {
			long afterMillis = Duration.between(begin, line.time()).toMillis();
			rendered.add(String.format("%7d ms  %s  %s %s", afterMillis, line.event(), line.text("message"),
					details(line.fields())));
		}
		rendered.add("cause: " + cause());
		return rendered;
	}

	private static String details(JsonNode fields) {
		return fields.properties()
			.stream()
			.filter((field) -> !PLAIN_FIELDS.contains(field.getKey()))
			.filter((field) -> !field.getValue().asText().isEmpty())
			.map((field) -> field.getKey() + "=" + field.getValue().asText())
			.collect(Collectors.joining(" "));
	}

	private LogLine last(Event event) {
		LogLine found = null;
		for (LogLine line : this.lines) {
			found = line.event().equals(event.id()) ? line : found;
		}
		return found;
	}

	/**
	 * Derives why the request ended as it did.
	 * @return one sentence
	 */
	String cause() {
		LogLine refused = last(Event.REQUEST_REFUSED);
		if (refused != null) {
			return "refused before anything was sent: " + refused.text("kind") + " by table " + refused.text("table")
					+ certainty(refused);
		}
		LogLine stopped = last(Event.REFUSED_IN_STOP);
		if (stopped != null) {
			return "refused before anything was sent: it asks for " + stopped.text("asksMillis")
					+ " ms, and the stop of " + "its gateway had " + stopped.text("leftMillis") + " ms left";
		}
		LogLine ended = last(Event.REQUEST_ENDED);
		if (ended == null) {
			return known() ? "its end was not logged: the process died, or the line was left out (SW-5002)"
					: "no line names request " + this.requestId;
		}
		LogLine attempt = last(Event.ATTEMPT_ENDED);
		String stop = (last(Event.CUT_OFF_IN_STOP) != null) ? "its gateway's stop ended it; " : "";
		return stop + explain(ended, attempt);
	}

	// Gateways before this field, and entries, do not say it.
	private static String certainty(LogLine refused) {
		String unconfirmedMillis = refused.text("unconfirmedMillis");
		if (unconfirmedMillis.isEmpty()) {
			return "";
		}
		boolean isBehind = !refused.text("behindMillis").equals("0");
		return ", unconfirmed for " + unconfirmedMillis + " ms" + (isBehind ? "; " + refused.text("toldBy")
				+ " had told of " + refused.text("toldVersion") + " for " + refused.text("behindMillis") + " ms" : "");
	}

	private static String explain(LogLine ended, LogLine attempt) {
		String outcome = ended.text("outcome");
		String lastAttempt = describe(attempt);
		Map<String, String> known = Map.of("overloaded", "no server had room within the time to wait; " + lastAttempt,
				"deadline", "its time ended while a server was at work; " + lastAttempt, "deadline-not-run",
				"its time ended before anything ran; " + lastAttempt, "backend-failed",
				"a server failed after the request may have run; " + lastAttempt, "no-server",
				"no server of its service takes work; " + lastAttempt, "caller-gone",
				"the caller left after " + ended.text("tookMillis") + " ms");
		if (outcome.equals("ends-servers")) {
			return "servers ended while they ran this request, or others with a part of its prompt, so that it is sent to "
					+ "none (SW-4110 of its digest or SW-4114 of the part in SW-4109); " + lastAttempt;
		}
		String timing = "first byte after " + ended.text("firstMillis") + " ms, longest pause "
				+ ended.text("pauseMillis") + " ms";
		return known.getOrDefault(outcome, "answered with " + outcome + "; " + timing);
	}

	private static String describe(LogLine attempt) {
		if (attempt == null) {
			return "nothing was sent to a server";
		}
		return "the last attempt, at " + attempt.text("server") + ", ended " + attempt.text("end") + withCause(attempt);
	}

	private static String withCause(LogLine attempt) {
		String cause = attempt.text("cause");
		return cause.isEmpty() ? "" : " (" + cause + ")";
	}

}
