package org.snowwind.agent;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import org.apache.thrift.TException;
import org.snowwind.config.snapshot.AgentDocument;
import org.snowwind.decide.ledger.AttemptId;
import org.snowwind.decide.ledger.AttemptLedger;
import org.snowwind.http.DataLoop;
import org.snowwind.model.MonotonicClock;
import org.snowwind.wire.Credentials;
import org.snowwind.wire.generated.AgentControl;
import org.snowwind.wire.generated.AgentReport;
import org.snowwind.wire.generated.ConfigPush;
import org.snowwind.wire.generated.EntryHeartbeat;
import org.snowwind.wire.generated.Refused;
import org.snowwind.wire.generated.RevokeRequest;
import org.snowwind.wire.generated.RevokeVerdict;

/**
 * Takes heartbeats, revocations, configuration and drain orders, and has the loop do
 * them.
 */
final class AgentControlService implements AgentControl.Iface {

	private static final long LOOP_TIMEOUT_MILLIS = 1000;

	private final AgentState state;

	private final DataLoop loop;

	private final MonotonicClock clock;

	private final String credential;

	AgentControlService(AgentState state, DataLoop loop, MonotonicClock clock, String credential) {
		this.state = state;
		this.loop = loop;
		this.clock = clock;
		this.credential = credential;
	}

	@Override
	public AgentReport heartbeat(EntryHeartbeat heartbeat) throws TException {
		Credentials.require(this.credential, heartbeat.getCredential());
		return onLoop(() -> {
			this.state.ledger()
				.heartbeat(heartbeat.getEntryIncarnation(), heartbeat.getSequenceFloor(), this.clock.nowMillis());
			return report();
		});
	}

	@Override
	public RevokeVerdict revoke(RevokeRequest request) throws TException {
		Credentials.require(this.credential, request.getCredential());
		if (request.getAgentIncarnation() != this.state.incarnation()) {
			return RevokeVerdict.CANNOT_SAY;
		}
		AttemptId id = new AttemptId(request.getEntryIncarnation(), request.getSequence());
		return onLoop(() -> verdictOf(this.state.ledger().revoke(id)));
	}

	@Override
	public long configure(ConfigPush push) throws TException {
		Credentials.require(this.credential, push.getCredential());
		AgentDocument document = decode(push);
		return onLoop(() -> this.state.configure(push.getRevision(), document));
	}

	@Override
	public AgentReport drain(String givenCredential, String reason) throws TException {
		Credentials.require(this.credential, givenCredential);
		return onLoop(() -> {
			this.state.drain(reason);
			return report();
		});
	}

	private AgentReport report() {
		AgentReport report = new AgentReport();
		report.setAgentName(this.state.name());
		report.setIncarnation(this.state.incarnation());
		report.setDraining(this.state.draining());
		report.setRunning(this.state.running());
		report.setQueued(this.state.waiting());
		report.setConcurrencyLimit(this.state.concurrencyLimit());
		report.setConfigRevision(this.state.configRevision());
		return report;
	}

	private static RevokeVerdict verdictOf(AttemptLedger.RevokeOutcome outcome) {
		return switch (outcome) {
			case BEGAN -> RevokeVerdict.BEGAN;
			case NEVER_WILL_BEGIN -> RevokeVerdict.NEVER_WILL_BEGIN;
			case CANNOT_SAY -> RevokeVerdict.CANNOT_SAY;
		};
	}

	private static AgentDocument decode(ConfigPush push) throws Refused {
		try {
			return AgentDocument.decode(push.getDocument());
		}
		catch (IOException ex) {
			throw new Refused("bad-document", "upgrade agents before entries: the configuration cannot be read");
		}
	}

	private <T> T onLoop(Supplier<T> work) throws TException {
		CompletableFuture<T> done = new CompletableFuture<>();
		this.loop.run(() -> done.complete(work.get()));
		try {
			return done.get(LOOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new TException("interrupted", ex);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new TException("the agent's loop does not answer", ex);
		}
	}

}
