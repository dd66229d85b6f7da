package org.snowwind.entry.member;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.snowwind.decide.choice.CircuitBreaker;
import org.snowwind.decide.choice.ServerView;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.wire.generated.AgentReport;

/**
 * One backend server as this entry sees it. Confined to the loop.
 */
public final class Server {

	/** After this age a load report says nothing. */
	private static final double REPORT_LIFE_MILLIS = 3000;

	private final String name;

	private final boolean sameDataCentre;

	private final CircuitBreaker breaker = new CircuitBreaker(CircuitBreaker.BreakerSettings.DEFAULT);

	private final Set<Runnable> waitingForHead = new LinkedHashSet<>();

	private BackendServerSpec spec;

	private AgentReport report;

	private long heardMillis;

	/** The attentive time of the last report. */
	private long heardAttentiveMillis;

	private boolean suspected = true;

	private boolean draining;

	private int inFlight;

	Server(String name, BackendServerSpec spec, boolean sameDataCentre) {
		this.name = name;
		this.spec = spec;
		this.sameDataCentre = sameDataCentre;
	}

	/**
	 * Returns the server's name.
	 * @return the name of its resource
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns what is declared of it.
	 * @return the specification
	 */
	public BackendServerSpec spec() {
		return this.spec;
	}

	void spec(BackendServerSpec next) {
		this.spec = next;
	}

	/**
	 * Returns the incarnation of its agent.
	 * @return the run of the agent that was last heard of
	 */
	public long incarnation() {
		return this.report.getIncarnation();
	}

	/**
	 * Returns its breaker.
	 * @return the breaker
	 */
	public CircuitBreaker breaker() {
		return this.breaker;
	}

	/**
	 * Takes note of an attempt that is sent there.
	 * @param whenLost called if the server is suspected before {@link #headArrived}
	 */
	public void sent(Runnable whenLost) {
		this.inFlight++;
		this.waitingForHead.add(whenLost);
	}

	/**
	 * Takes note that an attempt's answer has begun.
	 * @param whenLost as it was given
	 */
	public void headArrived(Runnable whenLost) {
		this.waitingForHead.remove(whenLost);
	}

	/**
	 * Takes note that an attempt has ended.
	 * @param whenLost as it was given
	 */
	public void ended(Runnable whenLost) {
		this.inFlight--;
		this.waitingForHead.remove(whenLost);
	}

	/**
	 * Takes note that it refuses new work.
	 */
	public void refusesNewWork() {
		this.draining = true;
	}

	/**
	 * Tells whether it can be sent anything at all.
	 * @return true if its incarnation is known and it is not draining
	 */
	public boolean reachable() {
		return this.report != null && !this.draining;
	}

	/**
	 * Tells whether it looks healthy.
	 * @param nowMillis the time, in milliseconds
	 * @return true if it answers heartbeats and its breaker is closed
	 */
	public boolean healthy(long nowMillis) {
		return !this.suspected && this.breaker.allows(nowMillis);
	}

	boolean suspected() {
		return this.suspected;
	}

	long configRevision() {
		return (this.report != null) ? this.report.getConfigRevision() : 0;
	}

	boolean sameDataCentre() {
		return this.sameDataCentre;
	}

	/**
	 * Takes note of a report.
	 * @param next the report
	 * @param nowMillis the time, in milliseconds
	 * @param attentiveMillis the attentive time, in milliseconds
	 * @return what has changed
	 */
	Change heard(AgentReport next, long nowMillis, long attentiveMillis) {
		boolean restarted = this.report != null && this.report.getIncarnation() != next.getIncarnation();
		boolean trusted = this.suspected;
		this.report = next;
		this.heardMillis = nowMillis;
		this.heardAttentiveMillis = attentiveMillis;
		this.suspected = false;
		this.draining = next.isDraining();
		if (restarted) {
			return Change.RESTARTED;
		}
		return trusted ? Change.TRUSTED : Change.NONE;
	}

	/**
	 * Suspects the server if it has been silent for too long.
	 * @param silentSinceMillis servers not heard of since this attentive time are
	 * suspected, in milliseconds
	 * @return true if it is suspected from now on
	 */
	boolean suspectIfSilent(long silentSinceMillis) {
		if (this.suspected || this.heardAttentiveMillis >= silentSinceMillis) {
			return false;
		}
		this.suspected = true;
		return true;
	}

	List<Runnable> takeWaiting() {
		List<Runnable> lost = new ArrayList<>(this.waitingForHead);
		this.waitingForHead.clear();
		return lost;
	}

	ServerView view(long nowMillis) {
		double freshness = Math.max(0, 1 - (nowMillis - this.heardMillis) / REPORT_LIFE_MILLIS);
		double reported = (this.report.getRunning() + this.report.getQueued()) * freshness;
		return new ServerView(this.name, this.sameDataCentre, this.inFlight, reported,
				this.report.getConcurrencyLimit(), this.breaker.slowStartFactor(nowMillis));
	}

	/**
	 * What a report changes.
	 */
	enum Change {

		/** Nothing. */
		NONE,

		/** The server is no longer suspected. */
		TRUSTED,

		/** The server's agent has been restarted. */
		RESTARTED

	}

}
