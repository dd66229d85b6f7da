package org.snowwind.app.command;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import org.apache.thrift.transport.TTransportException;
import org.snowwind.app.logging.LogSetup;
import org.snowwind.app.rehearse.Rehearsal;
import org.snowwind.config.settings.GatewaySettings;
import org.snowwind.config.settings.LogFormat;
import org.snowwind.config.settings.SettingsReader;
import org.snowwind.config.settings.SettingsResult;
import org.snowwind.gateway.GatewayDaemon;
import org.snowwind.http.client.JsonClient;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.platform.PlatformAdapters;
import org.snowwind.signal.HangUpSignal;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs a gateway.
 */
@Command(name = "gateway", description = "Run an entry that sends straight to backend servers.",
		mixinStandardHelpOptions = true, footer = { "", "Example:", "  snowwind gateway --check config/gateway.toml" })
public final class GatewayCommand implements Callable<Integer> {

	/** A connection to the platform takes a few milliseconds. */
	private static final long CONNECT_MILLIS = 500;

	@Option(names = "--check", description = "Only check the settings and list every fault.")
	private boolean check;

	@Option(names = "--rehearse", hidden = true, description = "Run for a moment against canned answers.")
	private boolean rehearse;

	@Parameters(paramLabel = "FILE", arity = "0..1", description = "The settings, for example config/gateway.toml.")
	private Path file;

	@Override
	public Integer call() {
		if (this.rehearse) {
			LogSetup.useRing(LogFormat.JSON);
			return Rehearsal.run() ? ExitCodes.OK : ExitCodes.MISSED;
		}
		if (this.file == null) {
			System.err.println("name the settings file; 'snowwind gateway --help' shows an example");
			return ExitCodes.INVALID;
		}
		return DaemonCommands.run(SettingsReader.read(this.file, GatewaySettings::from), this.check, this::run);
	}

	private int run(GatewaySettings settings) {
		LogSetup.useRing(settings.logFormat());
		JsonClient platform = new JsonClient(Map.of(), CONNECT_MILLIS);
		GatewayDaemon daemon = new GatewayDaemon(settings, PlatformAdapters.of(platform, settings.platform()));
		CountDownLatch stopped = DaemonCommands.onSignal(() -> {
			daemon.drainAndStop();
			LogSetup.finish();
		});
		try {
			daemon.start();
		}
		catch (TTransportException ex) {
			System.err.println("cannot listen on listen.peers: " + ex.getMessage());
			return ExitCodes.INVALID;
		}
		HangUpSignal.handle(() -> reload(daemon));
		DaemonCommands.await(stopped);
		return ExitCodes.OK;
	}

	private void reload(GatewayDaemon daemon) {
		SettingsResult<GatewaySettings> read = SettingsReader.read(this.file, GatewaySettings::from);
		read.match((valid) -> {
			daemon.use(valid);
			return true;
		}, (faults) -> {
			EventLog.log(Event.SETTINGS_REJECTED, "faults", faults.size(), "first", faults.get(0));
			return false;
		});
	}

}
