package org.snowwind.app.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.thrift.transport.TTransportException;
import org.snowwind.app.load.Caller;
import org.snowwind.app.trial.InForceWait;
import org.snowwind.app.trial.TrialFleet;
import org.snowwind.app.trial.TrialSettings;
import org.snowwind.config.settings.Addresses;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.operator.OperatorClient;

/**
 * Starts fleets for measurements and declares their resources.
 */
public final class MeasureFleet {

	private static final long IN_FORCE_TIMEOUT_MILLIS = 30_000;

	private MeasureFleet() {
	}

	/**
	 * Starts a fleet whose resources are in force.
	 * @param settings how large it is
	 * @param callers its organisations
	 * @param limits the limits of each
	 * @return the fleet, to be closed
	 * @throws MeasurementFailed if it does not come up
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public static TrialFleet start(TrialSettings settings, List<Caller> callers, OrganisationSpec limits)
			throws MeasurementFailed, InterruptedException {
		try {
			TrialFleet fleet = new TrialFleet(settings);
			declare(fleet, callers, limits);
			return fleet;
		}
		catch (TTransportException | IOException ex) {
			throw new MeasurementFailed("the fleet cannot be started: " + ex.getMessage(), ex);
		}
	}

	private static void declare(TrialFleet fleet, List<Caller> callers, OrganisationSpec limits)
			throws MeasurementFailed, InterruptedException {
		List<JsonNode> resources = fleet.resources(callers, limits);
		for (String entry : fleet.entries().keySet()) {
			try (OperatorClient client = operator(fleet, entry)) {
				client.apply(resources, false);
				if (!InForceWait.await(client, resources, IN_FORCE_TIMEOUT_MILLIS)) {
					throw new MeasurementFailed("the resources did not come in force at " + entry);
				}
			}
		}
	}

	/**
	 * Calls the resource API of an entry.
	 * @param fleet the fleet
	 * @param entry the entry's name
	 * @return a client to be closed
	 */
	public static OperatorClient operator(TrialFleet fleet, String entry) {
		String address = Addresses.render(fleet.entries().get(entry).addresses().operators());
		return new OperatorClient(address, TrialFleet.OPERATOR_TOKEN);
	}

	/**
	 * Makes callers.
	 * @param count how many organisations
	 * @return a caller of each
	 */
	public static List<Caller> callers(int count) {
		List<Caller> callers = new ArrayList<>();
		for (int i = 1; i <= count; i++) {
			callers.add(new Caller("organisation-" + i, "key-" + i));
		}
		return callers;
	}

	/**
	 * Limits that are in nobody's way.
	 * @return the limits
	 */
	public static OrganisationSpec generous() {
		return new OrganisationSpec(List.of(), 1, 1_000_000, 1_000_000, 100_000, 1 << 20);
	}

}
