package org.snowwind.app.command;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowwind.http.DataLoop;
import org.snowwind.http.server.HttpLimits;
import org.snowwind.http.server.HttpServer;
import org.snowwind.platform.standin.BackendStandIn;
import org.snowwind.platform.standin.StoreFault;
import org.snowwind.platform.standin.StoreStandIn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EvacuationsCommand} before a store and the admin page of a gateway.
 */
class EvacuationsCommandTests {

	private static final String PAGE = """
			{"evacuations":[{"dataCentre":"dc-1","gateway":"g1","sinceMillis":1200},
			{"dataCentre":"dc-2","gateway":"g2","sinceMillis":300}]}""";

	private final DataLoop loop = new DataLoop("test");

	private final StoreStandIn store = new StoreStandIn(this.loop, new Random(1));

	private final HttpServer admin = new HttpServer(this.loop, HttpLimits.DEFAULT,
			(exchange) -> exchange.respond(exchange.path().equals("/evacuations") ? 200 : 404,
					Map.of("Content-Type", "application/json"), PAGE.getBytes(StandardCharsets.UTF_8)));

	private final PrintStream standardOutput = System.out;

	private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

	private InetSocketAddress storeAddress;

	private InetSocketAddress adminAddress;

	@BeforeEach
	void start() {
		this.storeAddress = this.store.start();
		this.adminAddress = this.admin.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		new BackendStandIn(this.loop, this.store, "desk", "s1", "dc-1").register("127.0.0.1:4000");
		System.setOut(new PrintStream(this.printed, true, StandardCharsets.UTF_8));
	}

	@AfterEach
	void stop() {
		System.setOut(this.standardOutput);
		this.store.close();
		this.admin.close();
		this.loop.close();
	}

	private int execute(String action, String... arguments) {
		String[] all = new String[arguments.length + 3];
		all[0] = "evacuations";
		all[1] = action;
		all[2] = "--platform=127.0.0.1:" + this.storeAddress.getPort();
		System.arraycopy(arguments, 0, all, 3, arguments.length);
		return SnowwindCommand.newCommandLine().execute(all);
	}

	private String listed(String... arguments) {
		this.printed.reset();
		assertThat(execute("list", arguments)).isEqualTo(ExitCodes.OK);
		return this.printed.toString(StandardCharsets.UTF_8);
	}

	private String gateway() {
		return "--gateway=127.0.0.1:" + this.adminAddress.getPort();
	}

	@Test
	void evacuationStaysInTheStoreUntilItIsEnded() {
		assertThat(execute("begin", "dc-1")).isEqualTo(ExitCodes.OK);
		assertThat(listed()).containsPattern("dc-1 +yes");
		assertThat(this.store.copy().kinds().get("evacuations").get("dc-1").path("spec")).isEmpty();
		assertThat(execute("end", "dc-1")).isEqualTo(ExitCodes.OK);
		assertThat(listed()).doesNotContain("dc-1");
	}

	@Test
	void gatewaysWhereItIsInForceAreListedAlsoIfTheStoreHasLostIt() {
		execute("begin", "dc-1");
		assertThat(listed(gateway())).containsPattern("dc-1 +yes +g1 +1200").containsPattern("dc-2 +no +g2 +300");
	}

	@Test
	void gatewaysAreListedWhileTheStoreIsAway() {
		this.store.fault(StoreFault.DOWN);
		assertThat(execute("list", gateway())).isEqualTo(ExitCodes.UNREACHABLE);
		assertThat(this.printed.toString(StandardCharsets.UTF_8)).containsPattern("dc-1 +unknown +g1 +1200");
	}

	@Test
	void dataCentreWithoutServersIsRefusedUnlessForced() {
		assertThat(execute("begin", "dc-9")).isEqualTo(ExitCodes.INVALID);
		assertThat(listed()).doesNotContain("dc-9");
		assertThat(execute("begin", "--force", "dc-9")).isEqualTo(ExitCodes.OK);
		assertThat(listed()).contains("dc-9");
	}

	@Test
	void invalidNamesAndAddressesAreRefused() {
		assertThat(execute("begin", "--force", "dc/1")).isEqualTo(ExitCodes.INVALID);
		assertThat(execute("begin", "--force", "")).isEqualTo(ExitCodes.INVALID);
		assertThat(execute("end", "dc-1?rev=0")).isEqualTo(ExitCodes.INVALID);
		assertThat(execute("list", "--gateway=nowhere")).isEqualTo(ExitCodes.INVALID);
	}

	@Test
	void secondBeginAndSecondEndAreTold() {
		execute("begin", "dc-1");
		assertThat(execute("begin", "dc-1")).isEqualTo(ExitCodes.MISSED);
		execute("end", "dc-1");
		assertThat(execute("end", "dc-1")).isEqualTo(ExitCodes.MISSED);
	}

	@Test
	void storeThatIsAwayIsTold() {
		this.store.fault(StoreFault.DOWN);
		assertThat(execute("begin", "dc-1")).isEqualTo(ExitCodes.UNREACHABLE);
		assertThat(execute("begin", "--force", "dc-1")).isEqualTo(ExitCodes.UNREACHABLE);
		assertThat(execute("end", "dc-1")).isEqualTo(ExitCodes.UNREACHABLE);
	}

	@Test
	void gatewayThatIsAwayIsTold() {
		this.admin.close();
		assertThat(execute("list", gateway())).isEqualTo(ExitCodes.UNREACHABLE);
	}

}
