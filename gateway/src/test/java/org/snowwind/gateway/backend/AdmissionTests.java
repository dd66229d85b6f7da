package org.snowwind.gateway.backend;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowwind.decide.limit.AnnouncedLimit;
import org.snowwind.decide.limit.LimitReport;
import org.snowwind.decide.limit.RateGrant;
import org.snowwind.decide.notice.RampUp;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.registry.Registry;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Admission} and {@link StartTime}.
 */
class AdmissionTests {

	private static final EngineProfile ENGINE = new EngineProfile(2, 300_000, 6, 5, 0.5, 0.01, 70_000, 6, 64, 11, 4,
			1700, 92_000, 0.85);

	private static final long TARGET_MILLIS = 500;

	private final ManualClock clock = new ManualClock(10_000);

	private final BackendTable table = new BackendTable(this.clock, new Random(1), "dc", () -> 1);

	private final Admission admission = new Admission(this.table, this.clock);

	@BeforeEach
	void registerOneRank() {
		this.table.update(new Registry(EraRevision.ofLong(1),
				Map.of("r", new BackendEntry("r", BackendIncarnation.UNKNOWN, "s", "10.0.0.1", 80, "dc", 2, false))));
		this.table.recordGroup(BackendIncarnation.of("r"), "g");
	}

	private Admission.Verdict decide(long arrivedMillis) {
		return this.admission.decide(new Arrival("s", Set.of(), 0, ENGINE, TARGET_MILLIS, 120, arrivedMillis, false));
	}

	private Backend rank() {
		return this.table.find("r").orElseThrow();
	}

	private void fill() {
		rank().onSent(this.clock.nowMillis());
		rank().onSent(this.clock.nowMillis());
	}

	@Test
	void requestIsSentToServerWithRoom() {
		assertThat(decide(10_000)).isEqualTo(new Admission.Verdict.Send(rank()));
	}

	@Test
	void requestThatCanStillBeginOnTimeWaits() {
		fill();
		assertThat(decide(9_600)).isInstanceOf(Admission.Verdict.Wait.class);
	}

	@Test
	void requestThatCannotBeginOnTimeIsRejectedImmediately() {
		fill();
		this.admission.onAnswerStart("s", 100);
		assertThat(decide(9_800)).as("the mean of 100 ms plus twice the deviation of 50 ms fits")
			.isInstanceOf(Admission.Verdict.Wait.class);
		assertThat(decide(9_700)).isEqualTo(new Admission.Verdict.Reject(false, 200, 0, 0));
	}

	@Test
	void noRequestWaitsIfAnswersBeginTooLateAnyway() {
		fill();
		this.admission.onAnswerStart("s", 400);
		assertThat(decide(10_000)).isEqualTo(new Admission.Verdict.Reject(false, 800, 0, 0));
	}

	@Test
	void noRequestWaitsForClosedGroup() {
		for (int i = 0; i < 3; i++) {
			rank().onSent(this.clock.nowMillis());
			rank().onRejection(10_000);
		}
		assertThat(decide(10_000)).isEqualTo(new Admission.Verdict.Reject(true, 0, 0, 0));
	}

	private void setLimit(double perSecond) {
		rank().limit()
			.onResponseHead(new AnnouncedLimit.Rate(perSecond), true, this.clock.nowMillis(), this.clock.nowMillis());
	}

	private void grant(double perSecond) {
		this.table.limits()
			.applyGrants(List
				.of(new SharedLimits.Grant(BackendIncarnation.of("r"), new RateGrant(4, perSecond, 1, 0, 60_000))),
					this.clock.nowMillis());
	}

	@Test
	void limitedServerGetsWhatWasGrantedAndNoMore() {
		setLimit(4);
		assertThat(decide(10_000)).isInstanceOf(Admission.Verdict.Wait.class);
		grant(4);
		this.clock.advance(250);
		assertThat(decide(10_250)).isEqualTo(new Admission.Verdict.Send(rank()));
		rank().onSent(this.clock.nowMillis());
		assertThat(decide(10_250)).isInstanceOf(Admission.Verdict.Wait.class);
	}

	@Test
	void noMoreRequestsWaitForLimitedServerThanCanBeSentInTime() {
		setLimit(4);
		grant(4);
		this.table.limits().changeWaiting("s", 1);
		assertThat(decide(10_000)).as("two requests need 500 ms")
			.isEqualTo(new Admission.Verdict.Reject(false, 0, 500, 0));
		assertThat(decide(10_001)).isInstanceOf(Admission.Verdict.Wait.class);
	}

	@Test
	void atMostOneRequestWaitsWithoutGrant() {
		setLimit(4);
		assertThat(decide(10_000)).isInstanceOf(Admission.Verdict.Wait.class);
		this.table.limits().changeWaiting("s", 1);
		assertThat(decide(10_000)).isEqualTo(new Admission.Verdict.Reject(false, 0, Long.MAX_VALUE, 0));
	}

	@Test
	void rejectionsOfLimitedServerDoNotCloseItsGroup() {
		setLimit(4);
		for (int i = 0; i < 3; i++) {
			rank().onSent(this.clock.nowMillis());
			rank().onRejection(10_000);
		}
		assertThat(rank().group().isClosed()).isFalse();
		assertThat(rank().isTrusted(10_000)).isTrue();
	}

	@Test
	void limitBelongsToOneIncarnationOfTheServer() {
		setLimit(0);
		this.table.update(new Registry(EraRevision.ofLong(2),
				Map.of("r", new BackendEntry("r", 7, "s", "10.0.0.1", 80, "dc", 2, false))));
		this.table.update(new Registry(EraRevision.ofLong(3),
				Map.of("r", new BackendEntry("r", 8, "s", "10.0.0.1", 80, "dc", 2, false))));
		assertThat(this.table.limits().snapshot().activeLimits()).isEmpty();
		assertThat(decide(10_000)).isInstanceOf(Admission.Verdict.Send.class);
	}

	@Test
	void announcementsFromPeersAreAppliedAndForwarded() {
		this.table.limits()
			.onPeerAnnouncements(
					List.of(new SharedLimits.LimitAnnouncement(BackendIncarnation.of("r"), new LimitReport(3, 9_000))));
		assertThat(this.table.limits().snapshot().activeLimits()).isEqualTo(Map.of("r", 3.0));
		assertThat(this.table.limits().snapshot().announcements())
			.containsExactly(new SharedLimits.LimitAnnouncement(BackendIncarnation.of("r"), new LimitReport(3, 9_000)));
		assertThat(this.table.limits().snapshot().wishes()).singleElement()
			.extracting((wish) -> wish.wish().limitPerSecond())
			.isEqualTo(3.0);
	}

	@Test
	void startTimeFollowsObservations() {
		StartTime time = new StartTime();
		assertThat(time.upperBoundMillis()).isZero();
		for (int i = 0; i < 100; i++) {
			time.observe((i % 2 == 0) ? 80 : 120);
		}
		assertThat(time.upperBoundMillis()).isBetween(130L, 150L);
	}

	private void registerTwoServers() {
		this.table.update(new Registry(EraRevision.ofLong(2), Map.of("r", plainServer("r"), "q", plainServer("q"))));
	}

	private static BackendEntry plainServer(String id) {
		return new BackendEntry(id, BackendIncarnation.UNKNOWN, "s", "10.0.0.1", 80, "dc", 2, false);
	}

	private void reject(String id, long retryAfterMillis) {
		Backend backend = this.table.find(id).orElseThrow();
		long nowMillis = this.clock.nowMillis();
		backend.onSent(nowMillis);
		backend.onResponseHead(new ServerNotice(AnnouncedLimit.NONE, retryAfterMillis, false, ""),
				new BackendNotices.Source("test", false, nowMillis), RampUp.UNRESTRICTED, nowMillis);
		backend.onRejection(nowMillis);
	}

	private Admission.Verdict decideAfter(String... tried) {
		return this.admission.decide(new Arrival("s", Set.of(tried), 0, null, TARGET_MILLIS, 0, 10_000, false));
	}

	@Test
	void retryDoesNotFallBackToTriedServerThatBacksOff() {
		registerTwoServers();
		reject("r", 3000);
		assertThat(decideAfter("r", "q")).isEqualTo(new Admission.Verdict.Send(this.table.find("q").orElseThrow()));
		assertThat(decideAfter("q")).as("the untried server backs off").isInstanceOf(Admission.Verdict.Send.class);
	}

	@Test
	void requestIsRejectedAtOnceIfNoServerReturnsInTime() {
		registerTwoServers();
		reject("r", 3000);
		reject("q", 2000);
		assertThat(decideAfter()).isEqualTo(new Admission.Verdict.Reject(true, 0, 0, 2000));
	}

	@Test
	void noMoreRequestsWaitThanServersReturnInTime() {
		registerTwoServers();
		reject("r", 3000);
		reject("q", 300);
		assertThat(decideAfter()).isInstanceOf(Admission.Verdict.Wait.class);
		this.table.limits().changeWaiting("s", 1);
		assertThat(decideAfter()).isEqualTo(new Admission.Verdict.Reject(true, 0, 0, 300));
		this.clock.advance(300);
		assertThat(decideAfter()).isEqualTo(new Admission.Verdict.Send(this.table.find("q").orElseThrow()));
	}

	@Test
	void backoffOfRanksDoesNotCloseTheirGroup() {
		for (int i = 0; i < 3; i++) {
			reject("r", 1000);
		}
		assertThat(rank().group().isClosed()).isFalse();
		assertThat(rank().isTrusted(10_000)).as("a backoff is not a failure").isTrue();
	}

	@Test
	void backoffBelongsToOneIncarnationOfTheServer() {
		reject("r", 60_000);
		this.table.update(new Registry(EraRevision.ofLong(2),
				Map.of("r", new BackendEntry("r", 7, "s", "10.0.0.1", 80, "dc", 2, false))));
		assertThat(decide(10_000)).as("the same incarnation, whose start time was unknown before")
			.isInstanceOf(Admission.Verdict.Reject.class);
		this.table.update(new Registry(EraRevision.ofLong(3),
				Map.of("r", new BackendEntry("r", 8, "s", "10.0.0.1", 80, "dc", 2, false))));
		assertThat(decide(10_000)).isInstanceOf(Admission.Verdict.Send.class);
	}

	@Test
	void serverThatAnnouncedItsDepartureIsNotChosenDespiteItsRegistryEntry() {
		registerTwoServers();
		this.table.onResponseHead(rank(), new ServerNotice(AnnouncedLimit.NONE, 0, true, ""),
				new BackendNotices.Source("test", true, 10_000));
		this.table.update(new Registry(EraRevision.ofLong(3), Map.of("r", plainServer("r"), "q", plainServer("q"))));
		assertThat(decideAfter("q")).isEqualTo(new Admission.Verdict.Send(this.table.find("q").orElseThrow()));
		assertThat(rank().takesNewWork()).isFalse();
	}

}
