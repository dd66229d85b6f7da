package org.snowwind.app.command;

import java.net.InetSocketAddress;
import java.util.concurrent.Callable;

import org.snowwind.config.settings.Addresses;
import org.snowwind.http.DataLoop;
import org.snowwind.standin.EngineSettings;
import org.snowwind.standin.StandIn;
import org.snowwind.standin.StandInEngine;
import org.snowwind.standin.StandInPlainService;
import org.snowwind.standin.StandInPlatform;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs a stand-in for an outside system, for trials.
 */
@Command(name = "standin", description = "Run a stand-in for the platform, an engine or a plain service.",
		mixinStandardHelpOptions = true,
		footer = { "", "Example:", "  snowwind standin platform --listen 127.0.0.1:7000" })
public final class StandInCommand implements Callable<Integer> {

	@Parameters(paramLabel = "WHAT", description = "${COMPLETION-CANDIDATES}.")
	private What what;

	@Option(names = "--listen", required = true, paramLabel = "IP:PORT", description = "Where to listen.")
	private String listen;

	@Option(names = "--step-millis", description = "An engine's step; default: ${DEFAULT-VALUE}.", defaultValue = "5")
	private long stepMillis;

	@Option(names = "--max-batch", description = "An engine's batch; default: ${DEFAULT-VALUE}.", defaultValue = "16")
	private int maxBatch;

	@Override
	public Integer call() {
		InetSocketAddress address = Addresses.parse(this.listen).orElse(null);
		if (address == null) {
			System.err.println("--listen takes IP:PORT");
			return ExitCodes.INVALID;
		}
		DataLoop loop = new DataLoop("standin");
		StandIn standIn = create(loop);
		System.out.println("listening on " + Addresses.render(standIn.start(address)));
		DaemonCommands.stopOnSignal(() -> {
			standIn.close();
			loop.close();
		});
		return ExitCodes.OK;
	}

	private StandIn create(DataLoop loop) {
		return switch (this.what) {
			case PLATFORM -> new StandInPlatform(loop);
			case ENGINE -> new StandInEngine(loop, EngineSettings.DEFAULT.withPace(this.stepMillis, this.maxBatch));
			case PLAIN -> new StandInPlainService(loop);
		};
	}

	/**
	 * The stand-ins.
	 */
	enum What {

		/** The platform's object API and VM list. */
		PLATFORM,

		/** A model engine. */
		ENGINE,

		/** A plain service. */
		PLAIN

	}

}
