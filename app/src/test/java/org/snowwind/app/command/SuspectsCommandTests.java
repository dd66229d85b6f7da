package org.snowwind.app.command;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowwind.decide.blame.PartEnd;
import org.snowwind.decide.blame.ServerEnd;
import org.snowwind.gateway.suspect.PartEvidence;
import org.snowwind.gateway.suspect.SuspectArchive;
import org.snowwind.gateway.suspect.SuspectDocument;
import org.snowwind.gateway.suspect.SuspectView;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.JsonClient;
import org.snowwind.platform.PlatformAdapters;
import org.snowwind.platform.standin.StoreStandIn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SuspectsCommand} before a store.
 */
class SuspectsCommandTests {

	private static final String FATAL = "421-aa";

	private final DataLoop loop = new DataLoop("test");

	private final StoreStandIn store = new StoreStandIn(this.loop, new Random(1));

	private final JsonClient client = new JsonClient(Map.of(), 500);

	private InetSocketAddress address;

	@BeforeEach
	void start() {
		this.address = this.store.start();
		List<SuspectDocument.SeenEnd> ends = List.of(end("s1"), end("s2"), end("s3"));
		this.store.put("suspects", "g1",
				(ObjectNode) new SuspectDocument(ends, Set.of(), Set.of(), PartEvidence.EMPTY).toJson());
	}

	@AfterEach
	void stop() {
		this.client.close();
		this.store.close();
		this.loop.close();
	}

	private static SuspectDocument.SeenEnd end(String server) {
		return new SuspectDocument.SeenEnd(new ServerEnd(FATAL, server), "org", 100);
	}

	private int execute(String... arguments) {
		return SnowwindCommand.newCommandLine().execute(arguments);
	}

	private String platform() {
		return "--platform=127.0.0.1:" + this.address.getPort();
	}

	private SuspectView view() {
		return new SuspectArchive(PlatformAdapters.of(this.client, this.address).store()).list().orElseThrow().view();
	}

	@Test
	void whatStandsInThePlatformIsListed() {
		assertThat(view().blames(FATAL)).isTrue();
		assertThat(execute("suspects", "list", platform())).isEqualTo(ExitCodes.OK);
	}

	@Test
	void aReleasedRequestIsBlamedForLaterEndsOnly() {
		assertThat(execute("suspects", "release", platform(), FATAL)).isEqualTo(ExitCodes.OK);
		assertThat(view().suspects()).isEmpty();
		assertThat(execute("suspects", "release", platform(), FATAL)).as("nothing left to release")
			.isEqualTo(ExitCodes.MISSED);
		List<SuspectDocument.SeenEnd> later = List.of(end("s1"), end("s4"), end("s5"), end("s6"));
		this.store.put("suspects", "g1",
				(ObjectNode) new SuspectDocument(later, Set.of(), Set.of(), PartEvidence.EMPTY).toJson());
		assertThat(view().serversOf(FATAL)).containsExactlyInAnyOrder("s4", "s5", "s6");
		assertThat(view().blames(FATAL)).isTrue();
	}

	@Test
	void releasedPartIsBlamedForLaterEndsOnly() {
		writePartEnds(1, 2, 3);
		assertThat(view().parts().isBlamed("desk/bad")).isTrue();
		assertThat(execute("suspects", "list", platform())).isEqualTo(ExitCodes.OK);
		assertThat(execute("suspects", "release", platform(), "desk/bad")).isEqualTo(ExitCodes.OK);
		assertThat(view().parts().isBlamed("desk/bad")).isFalse();
		assertThat(execute("suspects", "release", platform(), "desk/bad")).isEqualTo(ExitCodes.MISSED);
		writePartEnds(4, 5, 6, 7, 8);
		assertThat(view().parts().isBlamed("desk/bad")).isTrue();
	}

	private void writePartEnds(int... rounds) {
		List<PartEnd> ends = Arrays.stream(rounds)
			.mapToObj((round) -> new PartEnd("desk/bad", "org", "s" + round, round, 1))
			.toList();
		this.store.put("suspects", "g1",
				(ObjectNode) new SuspectDocument(List.of(), Set.of(), Set.of(), new PartEvidence(ends, Map.of()))
					.toJson());
	}

	@Test
	void aPlatformThatDoesNotAnswerAndABadAddressAreSaidSo() {
		this.store.close();
		assertThat(execute("suspects", "list", platform())).isEqualTo(ExitCodes.UNREACHABLE);
		assertThat(execute("suspects", "release", platform(), FATAL)).isEqualTo(ExitCodes.UNREACHABLE);
		assertThat(execute("suspects", "list", "--platform", "nowhere")).isEqualTo(ExitCodes.INVALID);
	}

}
