package org.snowwind.gateway.table;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.ListResult;
import org.snowwind.store.StoreListener;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;

/**
 * Watches the platform for route tables and offers them to the holder.
 */
public final class TableWatcher implements StoreListener {

	private final TableDecoder decoder;

	private final TableHolder holder;

	/**
	 * Creates the watcher.
	 * @param decoder decodes tables
	 * @param holder receives the decoded tables
	 */
	public TableWatcher(TableDecoder decoder, TableHolder holder) {
		this.decoder = decoder;
		this.holder = holder;
	}

	@Override
	public void listed(ListResult.Listed listing) {
		offerTables(listing.objects());
	}

	@Override
	public void changed(WatchResult.Changes changes) {
		offerTables(changes.objects());
	}

	private void offerTables(List<StoredObject> objects) {
		for (StoredObject object : objects) {
			if (this.decoder.key().equals(object.key()) && !object.deleted()) {
				offer(object.value(), "platform");
			}
		}
	}

	/**
	 * Offers a table to the holder. A table that cannot be decoded is logged and ignored.
	 * @param document the table as the platform stores it
	 * @param source where the table came from, for the log
	 */
	public void offer(JsonNode document, String source) {
		try {
			this.holder.offer(this.decoder.decode(document), source);
		}
		catch (DocumentException ex) {
			EventLog.log(Event.TABLE_REJECTED, "reason", ex.getMessage(), "source", source, "inForce",
					this.holder.current().version());
		}
	}

}
