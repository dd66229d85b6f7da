package org.snowwind.entry.member;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.snowwind.model.ManualClock;
import org.snowwind.wire.generated.DataCentreProgress;
import org.snowwind.wire.generated.PeerReport;

import static org.assertj.core.api.Assertions.assertThat;

class PeerTableTests {

	private final ManualClock clock = new ManualClock(0);

	private PeerTable table(String name) {
		return new PeerTable(name, "casa", this.clock, 100, 1000);
	}

	private static PeerReport report(String name, String dataCentre, int number, DataCentreProgress... progress) {
		PeerReport report = new PeerReport();
		report.setEntryName(name);
		report.setDataCentre(dataCentre);
		report.setControlAddress("10.0.0." + number + ":1");
		report.setKnownEntries(List.of());
		report.setProgress(List.of(progress));
		return report;
	}

	@Test
	void exactlyTwoOfADataCentreAreRelays() {
		List<String> names = List.of("a", "b", "c", "d", "e");
		List<String> relays = new ArrayList<>();
		for (String name : names) {
			PeerTable table = table(name);
			names.forEach((other) -> table.heard(report(other, "casa", names.indexOf(other))));
			if (table.relay()) {
				relays.add(name);
			}
		}
		assertThat(relays).hasSize(2);
	}

	@Test
	void whenRelaysFallSilentOthersTakeOver() {
		PeerTable table = table("a");
		List.of("b", "c", "d", "e", "f", "g").forEach((name) -> table.heard(report(name, "casa", name.charAt(0))));
		this.clock.advance(101);
		table.suspectSilent();
		assertThat(table.relay()).isTrue();
		assertThat(table.liveEntries()).isEqualTo(1);
	}

	@Test
	void peersAreNeitherSuspectedNorForgottenAfterAPauseOfThisProcess() {
		PeerTable table = table("a");
		table.suspectSilent();
		table.heard(report("b", "casa", 2));
		this.clock.advance(30);
		table.suspectSilent();
		this.clock.advance(60_000);
		table.suspectSilent();
		assertThat(table.liveEntries()).isEqualTo(2);
		this.clock.advance(30);
		table.suspectSilent();
		assertThat(table.liveEntries()).as("the peer has been silent since the pause").isEqualTo(1);
	}

	@Test
	void silentPeersAreForgottenButSeedsAreNot() {
		PeerTable table = table("a");
		table.seed("10.0.0.9:1");
		table.heard(report("b", "casa", 2));
		this.clock.advance(1001);
		table.suspectSilent();
		assertThat(table.partners()).containsExactly("10.0.0.9:1");
	}

	@Test
	void freshKnowledgeOfAnotherDataCentreWins() {
		PeerTable table = table("a");
		table.heard(report("b", "casa", 2, new DataCentreProgress("fes", 7, 10, "x")));
		table.heard(report("c", "casa", 3, new DataCentreProgress("fes", 6, 500, "x")));
		assertThat(table.otherDataCentres()).singleElement().extracting(DataCentreProgress::getRevision).isEqualTo(7L);
	}

	@Test
	void nobodyElseSpeaksForTheOwnDataCentre() {
		PeerTable table = table("a");
		table.heard(report("b", "fes", 2, new DataCentreProgress("casa", 99, 0, "x")));
		assertThat(table.otherDataCentres()).isEmpty();
	}

	@Test
	void ofTwoThatKnowEachOtherOnlyOneCalls() {
		PeerTable table = table("a");
		table.heard(report("b", "casa", 2));
		assertThat(table.callees("10.0.0.1:1")).containsExactly("10.0.0.2:1");
		assertThat(table.callees("10.0.0.3:1")).isEmpty();
		this.clock.advance(101);
		table.suspectSilent();
		assertThat(table.callees("10.0.0.3:1")).containsExactly("10.0.0.2:1");
	}

	@Test
	void betweenDataCentresOnlyTheFirstRankedTalk() {
		int talkers = 0;
		List<String> here = List.of("a", "b", "c", "d", "e", "f");
		for (String name : here) {
			PeerTable table = table(name);
			here.stream()
				.filter((other) -> !other.equals(name))
				.forEach((other) -> table.heard(report(other, "casa", other.charAt(0))));
			List.of("u", "v", "w", "x").forEach((other) -> table.heard(report(other, "fes", other.charAt(0))));
			int abroad = table.partners().size() - (here.size() - 1);
			assertThat(abroad).isIn(0, 2);
			talkers += (abroad > 0) ? 1 : 0;
		}
		assertThat(talkers).isEqualTo(2);
	}

}
