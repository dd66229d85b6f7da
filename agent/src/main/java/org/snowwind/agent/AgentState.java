package org.snowwind.agent;

import java.util.Map;

import org.snowwind.agent.admission.BackendLane;
import org.snowwind.config.snapshot.AgentDocument;
import org.snowwind.decide.ledger.AttemptLedger;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;

/**
 * All that the agent's loop owns: ledger, lanes, configuration, and whether it drains.
 */
public final class AgentState {

	/** What a refused entry hears of a draining agent. */
	static final Problem DRAINING = Problem.notRun(ProblemKind.NOT_READY, "the agent is draining");

	private final String name;

	private final long incarnation;

	private final AttemptLedger ledger;

	private final Map<String, BackendLane> lanes;

	private final Weights weights;

	private long configRevision;

	private boolean draining;

	/**
	 * Creates the state of an agent that has just started.
	 * @param name the server's name
	 * @param incarnation this run of the process
	 * @param ledger remembers what began
	 * @param lanes the back ends by target
	 * @param weights the weights that the lanes use
	 */
	AgentState(String name, long incarnation, AttemptLedger ledger, Map<String, BackendLane> lanes, Weights weights) {
		this.name = name;
		this.incarnation = incarnation;
		this.ledger = ledger;
		this.lanes = Map.copyOf(lanes);
		this.weights = weights;
	}

	String name() {
		return this.name;
	}

	long incarnation() {
		return this.incarnation;
	}

	AttemptLedger ledger() {
		return this.ledger;
	}

	BackendLane lane(String target) {
		return this.lanes.get(target);
	}

	boolean draining() {
		return this.draining;
	}

	long configRevision() {
		return this.configRevision;
	}

	int running() {
		return this.lanes.values().stream().mapToInt(BackendLane::runningCount).sum();
	}

	int waiting() {
		return this.lanes.values().stream().mapToInt(BackendLane::waitingCount).sum();
	}

	int concurrencyLimit() {
		return this.lanes.values().stream().mapToInt(BackendLane::currentLimit).sum();
	}

	void forgetIdle() {
		this.lanes.values().forEach(BackendLane::forgetIdle);
	}

	void pump() {
		this.lanes.values().forEach(BackendLane::pump);
	}

	/**
	 * Puts a configuration in force unless it is older than the present one.
	 * @param revision its revision
	 * @param document the configuration
	 * @return the revision in force afterwards
	 */
	long configure(long revision, AgentDocument document) {
		if (revision > this.configRevision) {
			this.configRevision = revision;
			this.weights.use(document);
			EventLog.log(Event.CONFIG_APPLIED, "agent", this.name, "revision", revision);
		}
		else if (revision < this.configRevision) {
			EventLog.log(Event.CONFIG_STALE_IGNORED, "agent", this.name, "revision", revision, "inForce",
					this.configRevision);
		}
		return this.configRevision;
	}

	/**
	 * Refuses new work and work that waits from now on.
	 * @param reason why, for the log
	 */
	void drain(String reason) {
		if (this.draining) {
			return;
		}
		this.draining = true;
		EventLog.log(Event.AGENT_DRAINING, "agent", this.name, "reason", reason, "running", running());
		this.lanes.values().forEach((lane) -> lane.refuseWaiting(DRAINING));
	}

	/**
	 * Cuts off what still runs.
	 */
	void cutOff() {
		int cut = this.lanes.values().stream().mapToInt(BackendLane::cutOff).sum();
		if (cut > 0) {
			EventLog.log(Event.DRAIN_BOUND_PASSED, "agent", this.name, "cutOff", cut);
		}
	}

	/**
	 * The organisations' weights in force.
	 */
	static final class Weights {

		private AgentDocument document = AgentDocument.NONE;

		double of(String organisation) {
			return this.document.weightOf(organisation);
		}

		private void use(AgentDocument next) {
			this.document = next;
		}

	}

}
