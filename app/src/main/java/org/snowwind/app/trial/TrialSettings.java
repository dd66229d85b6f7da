package org.snowwind.app.trial;

import java.util.List;

import org.snowwind.model.resource.RoutingPolicySpec;
import org.snowwind.standin.EngineSettings;

/**
 * How large a trial fleet is and how its parts behave.
 *
 * @param dataCentres the names of the data centres
 * @param entriesPerDataCentre how many entries each has
 * @param enginesPerDataCentre how many engines each has
 * @param servicesPerDataCentre how many plain services each has
 * @param engine how engines behave
 * @param startConcurrency how many requests an agent runs at once at first
 * @param maxConcurrency how many requests an agent may ever run at once
 * @param maxWaitingPerOrganisation how many requests of one organisation may wait at an
 * agent
 * @param choice how a server is chosen for generated answers
 * @param budgetMillis the time a request may take, in milliseconds
 * @param heartbeatMillis how often entries ask agents and peers, in milliseconds
 * @param drainMillis how long running requests may take at a stop, in milliseconds
 * @param streamStallMillis an answer that pauses so long is broken, in milliseconds
 */
public record TrialSettings(List<String> dataCentres, int entriesPerDataCentre, int enginesPerDataCentre,
		int servicesPerDataCentre, EngineSettings engine, int startConcurrency, int maxConcurrency,
		int maxWaitingPerOrganisation, RoutingPolicySpec.Choice choice, long budgetMillis, long heartbeatMillis,
		long drainMillis, long streamStallMillis) {

	/** Three data centres as {@code snowwind try} starts them. */
	public static final TrialSettings DEFAULT = new TrialSettings(List.of("casa", "rabat", "fes"), 2, 2, 1,
			EngineSettings.DEFAULT, 16, 64, 64, RoutingPolicySpec.Choice.TWO_CHOICES, 10_000, 250, 10_000, 2000);

	/**
	 * Copies the list.
	 */
	public TrialSettings {
		dataCentres = List.copyOf(dataCentres);
	}

	/**
	 * Returns the settings with another size.
	 * @param centres the names of the data centres
	 * @param entries how many entries each has
	 * @param engines how many engines each has
	 * @param services how many plain services each has
	 * @return new settings
	 */
	public TrialSettings sized(List<String> centres, int entries, int engines, int services) {
		return new TrialSettings(centres, entries, engines, services, this.engine, this.startConcurrency,
				this.maxConcurrency, this.maxWaitingPerOrganisation, this.choice, this.budgetMillis,
				this.heartbeatMillis, this.drainMillis, this.streamStallMillis);
	}

	/**
	 * Returns the settings with other engines and agents before them.
	 * @param other how engines behave
	 * @param start how many requests an agent runs at once at first
	 * @param most how many it may ever run at once
	 * @param waiting how many of one organisation may wait
	 * @return new settings
	 */
	public TrialSettings withEngines(EngineSettings other, int start, int most, int waiting) {
		return new TrialSettings(this.dataCentres, this.entriesPerDataCentre, this.enginesPerDataCentre,
				this.servicesPerDataCentre, other, start, most, waiting, this.choice, this.budgetMillis,
				this.heartbeatMillis, this.drainMillis, this.streamStallMillis);
	}

	/**
	 * Returns the settings with other times.
	 * @param budget the time a request may take, in milliseconds
	 * @param heartbeat how often entries ask agents and peers, in milliseconds
	 * @param stall an answer that pauses so long is broken, in milliseconds
	 * @return new settings
	 */
	public TrialSettings timed(long budget, long heartbeat, long stall) {
		return new TrialSettings(this.dataCentres, this.entriesPerDataCentre, this.enginesPerDataCentre,
				this.servicesPerDataCentre, this.engine, this.startConcurrency, this.maxConcurrency,
				this.maxWaitingPerOrganisation, this.choice, budget, heartbeat, this.drainMillis, stall);
	}

}
