package org.snowwind.entry.member;

import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.model.EraRevision;
import org.snowwind.wire.Credentials;
import org.snowwind.wire.generated.ConfigDocument;
import org.snowwind.wire.generated.EntryControl;
import org.snowwind.wire.generated.PeerReport;
import org.snowwind.wire.generated.Refused;

/**
 * Takes exchanges of other entries and hands out the configuration in force.
 */
public final class EntryControlService implements EntryControl.Iface {

	private static final byte[] NOTHING = new byte[0];

	private final Membership membership;

	private final ConfigHolder config;

	private final String credential;

	/**
	 * Creates the service.
	 * @param membership takes the reports
	 * @param config holds the configuration in force
	 * @param credential the fleet credential
	 */
	public EntryControlService(Membership membership, ConfigHolder config, String credential) {
		this.membership = membership;
		this.config = config;
		this.credential = credential;
	}

	@Override
	public PeerReport exchange(PeerReport report) throws Refused {
		Credentials.require(this.credential, report.getCredential());
		return this.membership.exchanged(report);
	}

	@Override
	public ConfigDocument fetchConfig(String givenCredential, long haveRevision) throws Refused {
		Credentials.require(this.credential, givenCredential);
		Snapshot snapshot = this.config.current();
		ConfigDocument document = new ConfigDocument();
		document.setRevision(snapshot.revision().toLong());
		boolean newer = snapshot.revision().toLong() > haveRevision;
		document.setDocument(newer ? this.config.encodedSince(EraRevision.ofLong(Math.max(0, haveRevision))) : NOTHING);
		return document;
	}

}
