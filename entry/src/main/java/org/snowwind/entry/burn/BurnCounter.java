package org.snowwind.entry.burn;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;
import org.snowwind.model.resource.ServiceLevel;

/**
 * Counts requests as good or bad, by the minute. Confined to the loop.
 *
 * <p>
 * Memory is bounded by organisations, targets and causes, all of which are configured or
 * listed.
 */
public final class BurnCounter {

	private final LongSupplier minuteNow;

	private final Map<Key, Long> counts = new HashMap<>();

	/**
	 * Creates a counter.
	 * @param minuteNow tells the minutes since the epoch
	 */
	public BurnCounter(LongSupplier minuteNow) {
		this.minuteNow = minuteNow;
	}

	/**
	 * Takes note of a request that ended.
	 * @param organisation whose it was
	 * @param target the name of the service or model group
	 * @param level what was promised
	 * @param fared how it fared
	 */
	public void ended(String organisation, String target, ServiceLevel level, Fared fared) {
		Key key = new Key(this.minuteNow.getAsLong(), organisation, target, causeOf(level, fared));
		this.counts.merge(key, 1L, Long::sum);
	}

	private static String causeOf(ServiceLevel level, Fared fared) {
		if (fared.problem() != null) {
			return fared.problem().code();
		}
		if (fared.disclosure() != Disclosure.ANSWERED) {
			return "caller-gone";
		}
		if (fared.firstByteMillis() > level.firstByteMillis()) {
			return "late-first-byte";
		}
		return (fared.wholeMillis() > level.wholeAnswerMillis()) ? "late-answer" : BurnLine.GOOD;
	}

	/**
	 * Takes out all counts.
	 * @return the counts since they were last taken out
	 */
	public List<BurnLine> take() {
		List<BurnLine> lines = new ArrayList<>();
		this.counts.forEach((key, count) -> lines
			.add(new BurnLine(key.minute(), key.organisation(), key.target(), key.cause(), count)));
		this.counts.clear();
		return lines;
	}

	/**
	 * How a request fared.
	 *
	 * @param disclosure what its caller was told
	 * @param problem the kind of problem, {@code null} if there was none
	 * @param firstByteMillis when its answer began, in milliseconds
	 * @param wholeMillis when it ended, in milliseconds
	 */
	public record Fared(Disclosure disclosure, ProblemKind problem, long firstByteMillis, long wholeMillis) {

	}

	private record Key(long minute, String organisation, String target, String cause) {
	}

}
