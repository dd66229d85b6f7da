package org.snowwind.gateway.peer;

import java.util.List;
import java.util.function.Supplier;

import org.snowwind.gateway.limit.LimitDuty;
import org.snowwind.wire.generated.ConfigDocument;
import org.snowwind.wire.generated.ExchangeStamp;
import org.snowwind.wire.generated.GatewayControl;
import org.snowwind.wire.generated.GatewayDocument;
import org.snowwind.wire.generated.GatewayReport;
import org.snowwind.wire.generated.LimitGrant;
import org.snowwind.wire.generated.LimitRequest;

/**
 * Answers the calls of other gateways.
 */
public final class GatewayControlService implements GatewayControl.Iface {

	private final PeerMesh mesh;

	private final PeerDocuments documents;

	private final Supplier<GatewayReport> ownReport;

	private final LimitDuty limits;

	/**
	 * Creates the service.
	 * @param mesh receives the reports
	 * @param documents provides the documents
	 * @param ownReport composes the report of this gateway
	 * @param limits grants shares of the rates of limited servers
	 */
	public GatewayControlService(PeerMesh mesh, PeerDocuments documents, Supplier<GatewayReport> ownReport,
			LimitDuty limits) {
		this.mesh = mesh;
		this.documents = documents;
		this.ownReport = ownReport;
		this.limits = limits;
	}

	@Override
	public GatewayReport exchange(GatewayReport report, ExchangeStamp stamp) {
		this.mesh.handleCall(report, stamp);
		return this.ownReport.get();
	}

	@Override
	public List<LimitGrant> requestGrants(LimitRequest request) {
		return this.limits.handleRequest(request);
	}

	@Override
	public ConfigDocument fetchDocument(GatewayDocument kind, long haveRevision) {
		return this.documents.provide(kind, haveRevision);
	}

}
