package org.snowwind.entry.config;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.config.snapshot.SnapshotBuilder;
import org.snowwind.config.snapshot.SnapshotBuilder.RawValue;
import org.snowwind.model.EraRevision;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;

/**
 * The duty of a relay: one watch on the platform, relisted after a gap, with back-off
 * while the platform is away.
 *
 * <p>
 * Entries without the duty make no call here at all; they are fed by their peers.
 */
public final class PlatformWatcher {

	/** Below this prefix the platform keeps the resources. */
	public static final String PREFIX = "resources/";

	private static final long WATCH_MILLIS = 5000;

	/** The maximum number of resources in a log line. */
	private static final int MAX_LOGGED = 20;

	private static final long FIRST_BACKOFF_MILLIS = 200;

	private static final long MOST_BACKOFF_MILLIS = 5000;

	private final ObjectStore store;

	private final SnapshotBuilder builder;

	private final ConfigHolder config;

	private final BooleanSupplier onDuty;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final Consumer<Long> platformAge;

	private boolean relaying;

	private boolean listed;

	private boolean away;

	private EraRevision watchedRevision = EraRevision.NONE;

	private long backoffMillis = FIRST_BACKOFF_MILLIS;

	private long resumeMillis = Long.MIN_VALUE;

	private long answeredMillis = Long.MIN_VALUE;

	/**
	 * Creates the duty.
	 * @param store the platform
	 * @param builder makes snapshots
	 * @param config takes them
	 * @param onDuty whether this entry should hold a watch now
	 * @param clock tells the time
	 * @param random spreads the back-off
	 * @param platformAge is told how long ago the platform answered, in milliseconds
	 */
	public PlatformWatcher(ObjectStore store, SnapshotBuilder builder, ConfigHolder config, BooleanSupplier onDuty,
			MonotonicClock clock, RandomGenerator random, Consumer<Long> platformAge) {
		this.store = store;
		this.builder = builder;
		this.config = config;
		this.onDuty = onDuty;
		this.clock = clock;
		this.random = random;
		this.platformAge = platformAge;
	}

	/**
	 * Does one round: nothing, a listing, or a watch that waits for some seconds.
	 */
	public void round() {
		noteDuty();
		boolean backingOff = this.clock.nowMillis() < this.resumeMillis;
		if (!this.relaying || backingOff) {
			return;
		}
		if (this.listed) {
			watch();
		}
		else {
			list();
		}
		long now = this.clock.nowMillis();
		this.platformAge.accept((this.answeredMillis == Long.MIN_VALUE) ? -1 : now - this.answeredMillis);
	}

	private void noteDuty() {
		boolean duty = this.onDuty.getAsBoolean();
		if (duty != this.relaying) {
			EventLog.log(duty ? Event.RELAY_TAKEN : Event.RELAY_LEFT);
			this.relaying = duty;
			this.listed = false;
		}
	}

	private void list() {
		ListResult result = this.store.list(PREFIX);
		boolean answered = result.match(this::useListing, (none) -> noteAway(none.reason()));
		if (answered) {
			noteAnswer();
		}
	}

	private boolean useListing(ListResult.Listed listing) {
		Snapshot last = this.config.current();
		if (listing.revision().isNewerThan(last.revision())) {
			Map<Boolean, List<RawValue>> values = rawValues(listing.objects()).stream()
				.collect(Collectors.partitioningBy(this::isOlderThanRemoval));
			Snapshot next = this.builder.fromListing(last, listing.revision(), values.get(false));
			offer(next);
			logKept(next, values.get(true));
		}
		this.watchedRevision = listing.revision();
		this.listed = true;
		return true;
	}

	private boolean isOlderThanRemoval(RawValue value) {
		return SnapshotBuilder.keyOf(value.storeKey())
			.map((key) -> this.config.isOlderThanRemoval(key, value.revision()))
			.orElse(false);
	}

	private static void logKept(Snapshot next, List<RawValue> leftOut) {
		List<ResourceKey> kept = next.resources()
			.all()
			.stream()
			.filter((resource) -> resource.revision().era() < next.revision().era())
			.map(Resource::key)
			.toList();
		if (!kept.isEmpty() || !leftOut.isEmpty()) {
			EventLog.log(Event.CONFIG_KEPT, "revision", next.revision(), "kept", kept.size(), "keptResources",
					kept.stream().limit(MAX_LOGGED).toList(), "leftOut", leftOut.size(), "leftOutResources",
					leftOut.stream().limit(MAX_LOGGED).map(RawValue::storeKey).toList());
		}
	}

	private void watch() {
		WatchResult result = this.store.watch(PREFIX, this.watchedRevision, WATCH_MILLIS);
		boolean answered = result.match(this::useChanges, (gap) -> {
			EventLog.log(Event.WATCH_GAP, "after", this.watchedRevision);
			this.listed = false;
			return true;
		}, (none) -> noteAway(none.reason()));
		if (answered) {
			noteAnswer();
		}
	}

	private boolean useChanges(WatchResult.Changes changes) {
		if (!changes.objects().isEmpty()) {
			Snapshot last = this.config.current();
			offer(this.builder.fromChanges(last, rawValues(changes.objects())));
			this.watchedRevision = changes.revision();
		}
		return true;
	}

	private void offer(Snapshot next) {
		if (this.config.offer(next)) {
			next.rejected()
				.forEach((key, findings) -> EventLog.log(Event.CONFIG_REJECTED, "resource", key, "reason",
						findings.get(0).reason()));
		}
	}

	private boolean noteAway(String reason) {
		if (!this.away) {
			EventLog.log(Event.PLATFORM_AWAY, "reason", reason);
		}
		this.away = true;
		this.resumeMillis = this.clock.nowMillis() + this.random.nextLong(this.backoffMillis) + this.backoffMillis / 2;
		this.backoffMillis = Math.min(MOST_BACKOFF_MILLIS, this.backoffMillis * 2);
		return false;
	}

	private void noteAnswer() {
		if (this.away) {
			EventLog.log(Event.PLATFORM_BACK);
			this.listed = false;
		}
		this.away = false;
		this.backoffMillis = FIRST_BACKOFF_MILLIS;
		this.resumeMillis = Long.MIN_VALUE;
		this.answeredMillis = this.clock.nowMillis();
	}

	private static List<RawValue> rawValues(List<StoredObject> objects) {
		return objects.stream().map((object) -> new RawValue(object.key(), object.revision(), object.value())).toList();
	}

}
