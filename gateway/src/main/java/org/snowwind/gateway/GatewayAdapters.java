package org.snowwind.gateway;

import org.snowwind.gateway.evacuation.EvacuationDecoder;
import org.snowwind.gateway.expert.RankProtocol;
import org.snowwind.gateway.registry.RegistryDecoder;
import org.snowwind.gateway.request.BackendDialect;
import org.snowwind.gateway.table.TableDecoder;
import org.snowwind.http.client.syntax.ResponseFaults;
import org.snowwind.store.AsyncObjectStore;
import org.snowwind.store.ObjectStore;

/**
 * What translates between a gateway and the platform that it runs on.
 *
 * @param store the platform's object API
 * @param reads the same, for calls whose answers are not waited for
 * @param storeFaults the malformed responses of the object API
 * @param tables reads route tables
 * @param servers reads backend servers
 * @param evacuations reads evacuations of data centres
 * @param dialect names what is said in headers
 * @param ranks names what is said to ranks of groups
 */
public record GatewayAdapters(ObjectStore store, AsyncObjectStore reads, ResponseFaults storeFaults,
		TableDecoder tables, RegistryDecoder servers, EvacuationDecoder evacuations, BackendDialect dialect,
		RankProtocol ranks) {

}
