package org.snowwind.gateway.evacuation;

import java.util.ArrayList;
import java.util.List;

import org.snowwind.model.EraRevision;
import org.snowwind.wire.generated.EvacuationNews;

/**
 * Converts what gateways report about evacuations to and from wire messages.
 */
public final class EvacuationMessages {

	private EvacuationMessages() {
	}

	/**
	 * Converts evacuations to messages.
	 * @param news the evacuations
	 * @return the messages
	 */
	public static List<EvacuationNews> toMessages(List<Evacuation> news) {
		return news.stream()
			.map((evacuation) -> new EvacuationNews(evacuation.dataCentre(), evacuation.revision().toLong(),
					evacuation.ended()))
			.toList();
	}

	/**
	 * Converts messages to evacuations. A message without a position in the store or
	 * without a valid name is ignored.
	 * @param messages the messages
	 * @return the evacuations, at most as many as a gateway keeps
	 */
	public static List<Evacuation> fromMessages(List<EvacuationNews> messages) {
		List<Evacuation> news = new ArrayList<>();
		for (EvacuationNews message : messages) {
			boolean valid = message.getRevision() > 0 && Evacuation.isName(message.getDataCentre());
			if (valid && news.size() < EvacuationBook.MAX_ENTRIES) {
				news.add(new Evacuation(message.getDataCentre(), EraRevision.ofLong(message.getRevision()),
						message.isEnded()));
			}
		}
		return news;
	}

}
