package org.snowwind.entry.member;

import java.util.concurrent.CompletableFuture;

import org.apache.thrift.TException;
import org.snowwind.wire.generated.ConfigDocument;
import org.snowwind.wire.generated.EntryControl;
import org.snowwind.wire.generated.PeerReport;

/**
 * Stands in for the control service until it exists: the port must be bound before the
 * entry can tell its peers where it listens.
 */
public final class LateService implements EntryControl.Iface {

	private final CompletableFuture<EntryControl.Iface> service = new CompletableFuture<>();

	/**
	 * Names the service.
	 * @param real takes the calls from now on
	 */
	public void is(EntryControl.Iface real) {
		this.service.complete(real);
	}

	@Override
	public PeerReport exchange(PeerReport report) throws TException {
		return this.service.join().exchange(report);
	}

	@Override
	public ConfigDocument fetchConfig(String credential, long haveRevision) throws TException {
		return this.service.join().fetchConfig(credential, haveRevision);
	}

}
