package org.snowwind.gateway.peer;

import java.util.function.Supplier;

import org.snowwind.wire.generated.ConfigDocument;
import org.snowwind.wire.generated.GatewayControl;
import org.snowwind.wire.generated.GatewayDocument;
import org.snowwind.wire.generated.GatewayReport;

/**
 * Answers the calls of other gateways.
 */
public final class GatewayControlService implements GatewayControl.Iface {

	private final PeerMesh mesh;

	private final PeerDocuments documents;

	private final Supplier<GatewayReport> ownReport;

	/**
	 * Creates the service.
	 * @param mesh takes reports
	 * @param documents gives documents
	 * @param ownReport makes the own report
	 */
	public GatewayControlService(PeerMesh mesh, PeerDocuments documents, Supplier<GatewayReport> ownReport) {
		this.mesh = mesh;
		this.documents = documents;
		this.ownReport = ownReport;
	}

	@Override
	public GatewayReport exchange(GatewayReport report) {
		this.mesh.received(report);
		return this.ownReport.get();
	}

	@Override
	public ConfigDocument fetchDocument(GatewayDocument kind, long haveRevision) {
		return this.documents.give(kind, haveRevision);
	}

}
