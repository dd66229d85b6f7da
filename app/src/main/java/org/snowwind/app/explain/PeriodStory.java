package org.snowwind.app.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.snowwind.model.event.Event;

/**
 * Why requests of a period were not answered on time, each under one cause.
 */
public final class PeriodStory {

	private static final double PERCENT = 100;

	private static final String OK = "200";

	/** Demand that moved so long before a request still makes its passes long. */
	private static final Duration MAP_LAG = Duration.ofSeconds(3);

	private final Map<String, Logged> requests = new LinkedHashMap<>();

	private final List<LogLine> moves = new ArrayList<>();

	private final List<LogLine> standstills = new ArrayList<>();

	private final Map<LossCause, Integer> counts = new EnumMap<>(LossCause.class);

	private final Map<Long, Integer> lossesBySecond = new TreeMap<>();

	private PeriodStory() {
	}

	/**
	 * Puts each request that came within a period under one cause.
	 * @param logged log lines of all processes, in any order
	 * @param from the begin of the period
	 * @param until its end, not part of it
	 * @return the story
	 */
	public static PeriodStory of(List<String> logged, Instant from, Instant until) {
		PeriodStory story = new PeriodStory();
		logged.stream().flatMap((text) -> LogLine.parse(text).stream()).forEach(story::take);
		story.requests.values().removeIf((request) -> !request.cameWithin(from, until));
		story.requests.values().forEach((request) -> story.count(request, from));
		return story;
	}

	private void take(LogLine line) {
		if (line.event().equals(Event.DEMAND_MOVED.id()) || line.event().equals(Event.PASSES_JUMPED.id())) {
			this.moves.add(line);
		}
		else if (line.event().equals(Event.GROUP_CLOSED.id())) {
			this.standstills.add(line);
		}
		else if (!line.text("request").isEmpty()) {
			this.requests.computeIfAbsent(line.text("request"), (id) -> new Logged()).take(line);
		}
	}

	private void count(Logged request, Instant from) {
		LossCause cause = causeOf(request);
		this.counts.merge(cause, 1, Integer::sum);
		if (cause != LossCause.NONE) {
			this.lossesBySecond.merge(Duration.between(from, request.came()).toSeconds(), 1, Integer::sum);
		}
	}

	private LossCause causeOf(Logged request) {
		if (request.refused != null) {
			return LossCause.REFUSED_BY_TABLE;
		}
		if (request.refusedInStop != null) {
			return LossCause.REFUSED_BY_STOP;
		}
		if (request.ended == null) {
			return LossCause.END_NOT_LOGGED;
		}
		return switch (request.ended.text("outcome")) {
			case OK -> lateness(request);
			case "overloaded" -> request.rejection();
			case "no-server" -> LossCause.NO_SERVER;
			case "ends-servers" -> LossCause.ENDS_SERVERS;
			case "too-many-tokens" -> LossCause.TOO_MANY_TOKENS;
			case "backend-failed", "500", "503" -> LossCause.SERVER_FAILED;
			case "deadline", "deadline-not-run" -> LossCause.DEADLINE;
			case "caller-gone" -> LossCause.CALLER_LEFT;
			default -> LossCause.UNKNOWN;
		};
	}

	private LossCause lateness(Logged request) {
		long targetMillis = request.routed.number("targetMillis");
		if (request.ended.number("events") == 0) {
			return (request.ended.number("tookMillis") > targetMillis) ? LossCause.LATE_ANSWER : LossCause.NONE;
		}
		if (request.ended.number("firstMillis") > targetMillis) {
			return LossCause.LATE_FIRST_EVENT;
		}
		if (request.ended.number("pauseMillis") <= request.routed.number("pauseTargetMillis")) {
			return LossCause.NONE;
		}
		if (during(this.standstills, request, Duration.ZERO)) {
			return LossCause.LATE_PAUSE_STANDSTILL;
		}
		return during(this.moves, request, MAP_LAG) ? LossCause.LATE_PAUSE_DEMAND_MOVED
				: LossCause.LATE_PAUSE_LONG_PASSES;
	}

	private static boolean during(List<LogLine> lines, Logged request, Duration before) {
		Instant begin = request.came().minus(before);
		return lines.stream()
			.anyMatch((line) -> line.text("group").equals(request.group) && !line.time().isBefore(begin)
					&& !line.time().isAfter(request.ended.time()));
	}

	/**
	 * Counts the requests under a cause.
	 * @param cause the cause
	 * @return how many
	 */
	int count(LossCause cause) {
		return this.counts.getOrDefault(cause, 0);
	}

	/**
	 * Renders the story.
	 * @return a line for each cause with its count and share, then one for each second
	 * with losses
	 */
	public List<String> render() {
		int all = this.requests.size();
		List<String> rendered = new ArrayList<>();
		rendered.add(String.format("%6d requests", all));
		this.counts.forEach((cause, count) -> rendered
			.add(String.format("%6d  %5.1f%%  %s", count, PERCENT * count / all, cause.text())));
		rendered.add("losses by second:");
		this.lossesBySecond.forEach((second, count) -> rendered.add(String.format("%6d s  %d", second, count)));
		return rendered;
	}

	/**
	 * What was logged of one request.
	 */
	private static final class Logged {

		private LogLine routed;

		private LogLine refused;

		private LogLine refusedInStop;

		private LogLine turnedAway;

		private LogLine ended;

		private String group = "";

		private void take(LogLine line) {
			if (line.event().equals(Event.REQUEST_ROUTED.id())) {
				this.routed = line;
			}
			else if (line.event().equals(Event.REQUEST_REFUSED.id())) {
				this.refused = line;
			}
			else if (line.event().equals(Event.REFUSED_IN_STOP.id())) {
				this.refusedInStop = line;
			}
			else if (line.event().equals(Event.REQUEST_TURNED_AWAY.id())) {
				this.turnedAway = line;
			}
			else if (line.event().equals(Event.REQUEST_ENDED.id())) {
				this.ended = line;
			}
			else if (line.event().equals(Event.REQUEST_SENT.id())) {
				this.group = line.text("group");
			}
		}

		private Instant came() {
			return first().time();
		}

		private LogLine first() {
			if (this.routed != null) {
				return this.routed;
			}
			return (this.refused != null) ? this.refused : this.refusedInStop;
		}

		private boolean cameWithin(Instant from, Instant until) {
			return first() != null && !came().isBefore(from) && came().isBefore(until);
		}

		private LossCause rejection() {
			if (this.turnedAway == null || !this.turnedAway.fields().path("closed").asBoolean()) {
				return LossCause.NO_ROOM;
			}
			boolean backedOff = this.turnedAway.number("returnMillis") > 0;
			return backedOff ? LossCause.SERVERS_BACKED_OFF : LossCause.GROUPS_CLOSED;
		}

	}

}
