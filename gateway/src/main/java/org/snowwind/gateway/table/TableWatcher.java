package org.snowwind.gateway.table;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.ListResult;
import org.snowwind.store.StoreWatch;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;

/**
 * Takes route tables from the platform.
 */
public final class TableWatcher implements StoreWatch.Listener {

	private final TableDecoder decoder;

	private final TableHolder holder;

	/**
	 * Creates the watcher.
	 * @param decoder reads tables
	 * @param holder takes them
	 */
	public TableWatcher(TableDecoder decoder, TableHolder holder) {
		this.decoder = decoder;
		this.holder = holder;
	}

	@Override
	public void listed(ListResult.Listed listing) {
		take(listing.objects());
	}

	@Override
	public void changed(WatchResult.Changes changes) {
		take(changes.objects());
	}

	private void take(List<StoredObject> objects) {
		for (StoredObject object : objects) {
			if (this.decoder.key().equals(object.key()) && !object.deleted()) {
				offer(object.value(), "platform");
			}
		}
	}

	/**
	 * Offers a table to the holder; one that cannot be read is logged and left out.
	 * @param document the table as it stands in the platform
	 * @param source where it was learnt, for the log
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
