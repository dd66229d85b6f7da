package org.snowwind.app.command;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.snowwind.config.settings.Addresses;
import org.snowwind.gateway.suspect.PartView;
import org.snowwind.gateway.suspect.SuspectArchive;
import org.snowwind.http.client.JsonClient;
import org.snowwind.platform.PlatformAdapters;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Lists and releases requests under which servers ended.
 */
@Command(name = "suspects",
		description = "List requests and parts of prompts under which servers ended, or release one.",
		mixinStandardHelpOptions = true,
		footer = { "", "Examples:", "  snowwind suspects list --platform 10.200.1.7:8223",
				"  snowwind suspects release --platform 10.200.1.7:8223 421-0f3c...",
				"  snowwind suspects release --platform 10.200.1.7:8223 chat/5c1e07a2" })
public final class SuspectsCommand {

	private static final long CONNECT_MILLIS = 500;

	@Option(names = "--platform", required = true, paramLabel = "IP:PORT", scope = CommandLine.ScopeType.INHERIT,
			description = "Where the platform's store listens.")
	private String platform;

	@Command(name = "list",
			description = "One line for each request or part of prompts and each server that ended under it.")
	int list() {
		return withArchive((archive) -> {
			Optional<SuspectArchive.Listing> listed = archive.list();
			if (listed.isEmpty()) {
				return away();
			}
			List<List<String>> rows = new ArrayList<>();
			rows.add(List.of("DIGEST OR PART", "BLAMED", "ORGANISATION", "SERVER", "AGE MS", "SEEN BY"));
			listed.get()
				.ends()
				.forEach((end,
						seen) -> rows.add(List.of(end.request(),
								listed.get().view().blames(end.request()) ? "yes" : "no", seen.get(0).organisation(),
								end.server(), Long.toString(seen.get(0).ageMillis()), seen.size() + " gateways")));
			rows.addAll(partRows(listed.get().view().parts()));
			Tables.print(rows);
			return ExitCodes.OK;
		});
	}

	private static List<List<String>> partRows(PartView parts) {
		return parts.standing()
			.stream()
			.map((end) -> List.of(end.part(), parts.isBlamed(end.part()) ? "yes" : "no", end.organisation(),
					end.server(), "", "round " + end.round()))
			.toList();
	}

	@Command(name = "release", description = "Let a request, or requests with a part of prompts, reach servers again.")
	int release(@Parameters(paramLabel = "DIGEST|PART",
			description = "A request or a part, as the log and 'list' name it.") String name) {
		return withArchive((archive) -> {
			Optional<Integer> released = archive.release(name);
			if (released.isEmpty()) {
				return away();
			}
			System.out.println("released from " + released.get() + " ends of servers");
			return (released.get() > 0) ? ExitCodes.OK : ExitCodes.MISSED;
		});
	}

	private static int away() {
		System.err.println("the platform did not answer, or somebody else wrote meanwhile; try again");
		return ExitCodes.UNREACHABLE;
	}

	private int withArchive(Use use) {
		Optional<InetSocketAddress> address = Addresses.parse(this.platform);
		if (address.isEmpty()) {
			System.err.println("--platform is not IP:PORT: " + this.platform);
			return ExitCodes.INVALID;
		}
		try (JsonClient client = new JsonClient(Map.of(), CONNECT_MILLIS)) {
			return use.of(new SuspectArchive(PlatformAdapters.of(client, address.get()).store()));
		}
	}

	/**
	 * What is done with the archive.
	 */
	@FunctionalInterface
	private interface Use {

		int of(SuspectArchive archive);

	}

}
