package org.snowwind.app.command;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.config.settings.Addresses;
import org.snowwind.gateway.GatewayAdapters;
import org.snowwind.gateway.evacuation.EvacuationArchive;
import org.snowwind.gateway.evacuation.EvacuationOutcome;
import org.snowwind.http.client.JsonClient;
import org.snowwind.platform.PlatformAdapters;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Lists, begins and ends evacuations of data centres.
 */
@Command(name = "evacuations", description = "List, begin or end evacuations of data centres.",
		mixinStandardHelpOptions = true,
		footer = { "", "Examples:", "  snowwind evacuations begin --platform 10.200.1.7:8223 dc-1",
				"  snowwind evacuations list --platform 10.200.1.7:8223 --gateway 10.0.0.4:9102",
				"  snowwind evacuations end --platform 10.200.1.7:8223 dc-1" })
public final class EvacuationsCommand {

	private static final long CONNECT_MILLIS = 500;

	private static final long ANSWER_MILLIS = 3000;

	private static final int OK = 200;

	private static final String NONE = "-";

	@Option(names = "--platform", required = true, paramLabel = "IP:PORT", scope = CommandLine.ScopeType.INHERIT,
			description = "Where the platform's store listens.")
	private String platform;

	@Command(name = "list", description = "One line for each data centre and each gateway where it is in force.")
	int list(@Option(names = "--gateway", paramLabel = "IP:PORT",
			description = "The admin address of a gateway, which knows where evacuations are in force.") String gateway) {
		Optional<InetSocketAddress> admin = Addresses.parse((gateway != null) ? gateway : this.platform);
		if (admin.isEmpty()) {
			System.err.println("--gateway is not IP:PORT: " + gateway);
			return ExitCodes.INVALID;
		}
		return withArchive((archive, client) -> {
			Optional<List<String>> requested = archive.list();
			List<InForce> inForce = List.of();
			if (gateway != null) {
				try {
					inForce = inForce(client, gateway);
				}
				catch (IOException ex) {
					System.err.println("the gateway did not list its evacuations: " + ex.getMessage());
					return ExitCodes.UNREACHABLE;
				}
			}
			Tables.print(rows(requested, inForce));
			return requested.isPresent() ? ExitCodes.OK : report(EvacuationOutcome.NOT_WRITTEN, "");
		});
	}

	@Command(name = "begin", description = "Let the servers of a data centre get no new requests.")
	int begin(@Parameters(paramLabel = "DATA_CENTRE", description = "As servers name it in the registry.") String name,
			@Option(names = "--force", description = "Also if no server is registered there.") boolean force) {
		return withArchive((archive, client) -> report(archive.begin(name, force), name));
	}

	@Command(name = "end", description = "Let the servers of a data centre get requests again.")
	int end(@Parameters(paramLabel = "DATA_CENTRE", description = "As 'list' names it.") String name) {
		return withArchive((archive, client) -> report(archive.end(name), name));
	}

	private static List<InForce> inForce(JsonClient client, String gateway) throws IOException {
		JsonClient.JsonAnswer answer = client.call("GET", "http://" + gateway + "/evacuations", Map.of(), null,
				ANSWER_MILLIS);
		if (answer.status() != OK) {
			throw new IOException("status " + answer.status());
		}
		List<InForce> found = new ArrayList<>();
		answer.body()
			.path("evacuations")
			.forEach((JsonNode entry) -> found.add(new InForce(entry.path("dataCentre").asText(),
					entry.path("gateway").asText(), entry.path("sinceMillis").asLong())));
		return found;
	}

	private static List<List<String>> rows(Optional<List<String>> requested, List<InForce> inForce) {
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("DATA CENTRE", "IN STORE", "GATEWAY", "IN FORCE MS"));
		Set<String> dataCentres = new TreeSet<>(requested.orElse(List.of()));
		inForce.forEach((entry) -> dataCentres.add(entry.dataCentre()));
		for (String dataCentre : dataCentres) {
			String inStore = requested.map((names) -> names.contains(dataCentre) ? "yes" : "no").orElse("unknown");
			List<InForce> there = inForce.stream().filter((entry) -> entry.dataCentre().equals(dataCentre)).toList();
			there.forEach((entry) -> rows
				.add(List.of(dataCentre, inStore, entry.gateway(), Long.toString(entry.sinceMillis()))));
			if (there.isEmpty()) {
				rows.add(List.of(dataCentre, inStore, NONE, NONE));
			}
		}
		return rows;
	}

	private static int report(EvacuationOutcome outcome, String dataCentre) {
		String message = switch (outcome) {
			case DONE -> "acknowledged by the store";
			case INVALID_NAME -> "no valid name of a data centre: " + dataCentre;
			case NO_SERVERS -> "no server is registered in " + dataCentre + "; --force begins it nevertheless";
			case ALREADY_BEGUN -> "the store holds the evacuation of " + dataCentre + " already";
			case NOT_BEGUN -> "the store holds no evacuation of " + dataCentre
					+ "; if gateways keep one, a restored store has lost it: begin it again, then end it";
			case CHANGED_MEANWHILE -> "somebody else wrote it meanwhile; try again";
			case NOT_WRITTEN -> "the platform's store did not answer; nothing was changed";
			case UNCERTAIN -> "the platform's store did not acknowledge it; it may take effect: look with 'list'";
		};
		((outcome == EvacuationOutcome.DONE) ? System.out : System.err).println(message);
		return switch (outcome) {
			case DONE -> ExitCodes.OK;
			case INVALID_NAME, NO_SERVERS -> ExitCodes.INVALID;
			case ALREADY_BEGUN, NOT_BEGUN -> ExitCodes.MISSED;
			case CHANGED_MEANWHILE -> ExitCodes.CONFLICT;
			case NOT_WRITTEN, UNCERTAIN -> ExitCodes.UNREACHABLE;
		};
	}

	private int withArchive(Use use) {
		Optional<InetSocketAddress> address = Addresses.parse(this.platform);
		if (address.isEmpty()) {
			System.err.println("--platform is not IP:PORT: " + this.platform);
			return ExitCodes.INVALID;
		}
		try (JsonClient client = new JsonClient(Map.of(), CONNECT_MILLIS)) {
			GatewayAdapters adapters = PlatformAdapters.of(client, address.get());
			return use.of(new EvacuationArchive(adapters.store(), adapters.servers(), adapters.evacuations().prefix()),
					client);
		}
	}

	/**
	 * What is done with the archive.
	 */
	@FunctionalInterface
	private interface Use {

		int of(EvacuationArchive archive, JsonClient client);

	}

	/**
	 * An evacuation that is in force at a gateway.
	 *
	 * @param dataCentre the data centre
	 * @param gateway the gateway
	 * @param sinceMillis for how long it has been in force there, in milliseconds
	 */
	private record InForce(String dataCentre, String gateway, long sinceMillis) {

	}

}
