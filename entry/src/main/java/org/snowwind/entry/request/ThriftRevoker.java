package org.snowwind.entry.request;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;

import org.snowwind.config.settings.Addresses;
import org.snowwind.decide.ledger.AttemptId;
import org.snowwind.decide.outcome.AttemptEnd;
import org.snowwind.http.DataLoop;
import org.snowwind.wire.Reply;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.ThriftLink;
import org.snowwind.wire.generated.AgentControl;
import org.snowwind.wire.generated.RevokeRequest;
import org.snowwind.wire.generated.RevokeVerdict;

/**
 * Revokes over a connection of its own, so that no heartbeat is in its way.
 */
public final class ThriftRevoker implements Revoker {

	/** How long an agent may take to answer, in milliseconds. */
	public static final long TIMEOUT_MILLIS = 150;

	private final ThriftCalls calls;

	private final DataLoop loop;

	private final String credential;

	/**
	 * Creates the revoker.
	 * @param calls carries the calls
	 * @param loop gets the answers
	 * @param credential the fleet credential
	 */
	public ThriftRevoker(ThriftCalls calls, DataLoop loop, String credential) {
		this.calls = calls;
		this.loop = loop;
		this.credential = credential;
	}

	@Override
	public void revoke(String controlAddress, long agentIncarnation, AttemptId id, Consumer<AttemptEnd> whenKnown) {
		Optional<InetSocketAddress> address = Addresses.parse(controlAddress);
		if (address.isEmpty()) {
			whenKnown.accept(AttemptEnd.LOST_FOR_GOOD);
			return;
		}
		ThriftCalls.ClientFactory<AgentControl.AsyncClient> factory = AgentControl.AsyncClient::new;
		ThriftLink<AgentControl.AsyncClient> link = this.calls.link(address.get(), factory, TIMEOUT_MILLIS);
		RevokeRequest request = new RevokeRequest(this.credential, agentIncarnation, id.entryIncarnation(),
				id.sequence());
		link.<RevokeVerdict>call((client, callback) -> client.revoke(request, callback), new Reply<>() {
			@Override
			public void received(RevokeVerdict verdict) {
				link.close();
				ThriftRevoker.this.loop.run(() -> whenKnown.accept(endOf(verdict)));
			}

			@Override
			public void failed(Exception cause) {
				link.close();
				ThriftRevoker.this.loop.run(() -> whenKnown.accept(AttemptEnd.LOST_FOR_GOOD));
			}
		});
	}

	private static AttemptEnd endOf(RevokeVerdict verdict) {
		return switch (verdict) {
			case BEGAN -> AttemptEnd.BEGAN_THEN_BROKE;
			case NEVER_WILL_BEGIN -> AttemptEnd.REVOKED;
			case CANNOT_SAY -> AttemptEnd.LOST_FOR_GOOD;
		};
	}

}
