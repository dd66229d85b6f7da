package org.snowwind.gateway.limit;

import java.util.List;

import org.snowwind.decide.limit.LimitReport;
import org.snowwind.decide.limit.RateDemand;
import org.snowwind.decide.limit.RateGrant;
import org.snowwind.gateway.backend.SharedLimits.Grant;
import org.snowwind.gateway.backend.SharedLimits.LimitAnnouncement;
import org.snowwind.gateway.backend.SharedLimits.Wish;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.wire.generated.LimitGrant;
import org.snowwind.wire.generated.LimitNews;
import org.snowwind.wire.generated.LimitWish;

/**
 * Converts what gateways exchange about limits to and from wire messages.
 */
public final class LimitMessages {

	private LimitMessages() {
	}

	/**
	 * Converts announcements of limits to messages. A message carries the age of an
	 * announcement, since the clocks of processes differ.
	 * @param announcements the announcements
	 * @param nowMillis the time, in milliseconds
	 * @return the messages
	 */
	public static List<LimitNews> toMessages(List<LimitAnnouncement> announcements, long nowMillis) {
		return announcements.stream()
			.map((announcement) -> new LimitNews(announcement.run().id(), announcement.run().bornMillis(),
					announcement.limit().perSecond(), nowMillis - announcement.limit().atMillis()))
			.toList();
	}

	/**
	 * Converts messages to announcements of limits, with times by the local clock.
	 * @param messages the messages
	 * @param nowMillis the time by the local clock, in milliseconds
	 * @return the announcements
	 */
	public static List<LimitAnnouncement> fromMessages(List<LimitNews> messages, long nowMillis) {
		return messages.stream()
			.map((message) -> new LimitAnnouncement(
					new BackendIncarnation(message.getServer(), message.getBornMillis()),
					new LimitReport(message.getPerSecond(), nowMillis - Math.max(0, message.getAgeMillis()))))
			.toList();
	}

	static LimitWish toMessage(Wish wish) {
		RateDemand rate = wish.wish();
		return new LimitWish(wish.run().id(), wish.run().bornMillis(), rate.limitPerSecond(), rate.wantedPerSecond(),
				rate.heldPerSecond(), rate.waiting());
	}

	static Wish toWish(LimitWish message) {
		return new Wish(new BackendIncarnation(message.getServer(), message.getBornMillis()),
				new RateDemand(message.getLimitPerSecond(), message.getWantedPerSecond(), message.getHeldPerSecond(),
						message.getWaiting()));
	}

	static LimitGrant toMessage(Grant grant) {
		RateGrant rate = grant.grant();
		return new LimitGrant(grant.run().id(), grant.run().bornMillis(), rate.limitPerSecond(), rate.perSecond(),
				rate.burst(), rate.singles(), rate.validMillis());
	}

	static Grant toGrant(LimitGrant message) {
		return new Grant(new BackendIncarnation(message.getServer(), message.getBornMillis()),
				new RateGrant(message.getLimitPerSecond(), message.getPerSecond(), message.getBurst(),
						message.getSingles(), message.getValidMillis()));
	}

}
