package org.snowwind.entry.member;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.snowwind.decide.choice.RendezvousHashing;
import org.snowwind.decide.silence.AttentiveTime;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.wire.generated.DataCentreProgress;
import org.snowwind.wire.generated.PeerReport;

/**
 * The other entries, by their control addresses. Confined to the membership thread.
 *
 * <p>
 * Within a data centre every entry talks to every other. Between data centres only the
 * first-ranked entries of each talk, so that traffic grows with data centres and not with
 * entries.
 */
public final class PeerTable {

	private static final int REPRESENTATIVES = 2;

	private static final int RELAYS = 2;

	private static final String REPRESENTATIVE_SEED = "representative";

	private static final String RELAY_SEED = "relay";

	private final String ownName;

	private final String dataCentre;

	private final MonotonicClock clock;

	private final AttentiveTime attentive;

	private final long suspectAfterMillis;

	private final long forgetAfterMillis;

	private final Map<String, Peer> peers = new LinkedHashMap<>();

	private final Map<String, Progress> progress = new HashMap<>();

	private final Set<String> permanent = new LinkedHashSet<>();

	/**
	 * Creates a table without peers.
	 * @param ownName this entry's name
	 * @param dataCentre this entry's data centre
	 * @param clock tells the time
	 * @param suspectAfterMillis a peer silent for so long is suspected, in milliseconds
	 * of attentive time
	 * @param forgetAfterMillis a peer silent for so long is forgotten, in milliseconds of
	 * attentive time
	 */
	public PeerTable(String ownName, String dataCentre, MonotonicClock clock, long suspectAfterMillis,
			long forgetAfterMillis) {
		this.ownName = ownName;
		this.dataCentre = dataCentre;
		this.clock = clock;
		this.suspectAfterMillis = suspectAfterMillis;
		this.forgetAfterMillis = forgetAfterMillis;
		this.attentive = new AttentiveTime(clock.nowMillis(), suspectAfterMillis / 2);
	}

	private long attentiveMillis() {
		return this.attentive.millis(this.clock.nowMillis());
	}

	/**
	 * Takes note of an address from the settings, which is never forgotten.
	 * @param controlAddress the address
	 */
	public void seed(String controlAddress) {
		this.permanent.add(controlAddress);
		learn(controlAddress);
	}

	/**
	 * Takes note of an address that somebody named.
	 * @param controlAddress the address
	 */
	public void learn(String controlAddress) {
		this.peers.computeIfAbsent(controlAddress, (address) -> new Peer(address, attentiveMillis()));
	}

	/**
	 * Takes note of a peer's report.
	 * @param report the report
	 */
	public void heard(PeerReport report) {
		if (report.getEntryName().equals(this.ownName)) {
			return;
		}
		learn(report.getControlAddress());
		Peer peer = this.peers.get(report.getControlAddress());
		if (!peer.live) {
			EventLog.log(Event.PEER_TRUSTED, "entry", report.getEntryName(), "dataCentre", report.getDataCentre());
		}
		peer.report = report;
		peer.heardAttentiveMillis = attentiveMillis();
		peer.live = !report.isDraining();
		report.getKnownEntries().forEach(this::learn);
		report.getProgress().forEach(this::mergeProgress);
	}

	private void mergeProgress(DataCentreProgress reported) {
		long asOfMillis = this.clock.nowMillis() - reported.getAgeMillis();
		Progress known = this.progress.get(reported.getDataCentre());
		boolean own = reported.getDataCentre().equals(this.dataCentre);
		if (!own && (known == null || known.asOfMillis() < asOfMillis)) {
			this.progress.put(reported.getDataCentre(),
					new Progress(reported.getRevision(), asOfMillis, reported.getWaitsFor()));
		}
	}

	/**
	 * Suspects and forgets peers that have been silent for too long. This must be called
	 * several times in the time after which a peer is suspected: a longer time between
	 * two calls is a pause of this process and counts as half of that time.
	 */
	public void suspectSilent() {
		this.attentive.tick(this.clock.nowMillis());
		long attentiveMillis = attentiveMillis();
		for (Peer peer : List.copyOf(this.peers.values())) {
			long silentMillis = attentiveMillis - peer.heardAttentiveMillis;
			if (peer.live && silentMillis > this.suspectAfterMillis) {
				peer.live = false;
				EventLog.log(Event.PEER_SUSPECTED, "entry", peer.report.getEntryName());
			}
			if (silentMillis > this.forgetAfterMillis && !this.permanent.contains(peer.address)) {
				this.peers.remove(peer.address);
			}
		}
	}

	/**
	 * Returns the addresses that this entry calls by turns. An exchange tells both sides,
	 * so of two entries that know each other only the one with the lower address calls.
	 * @param ownAddress this entry's control address
	 * @return control addresses
	 */
	public List<String> callees(String ownAddress) {
		return partners().stream().filter((address) -> {
			boolean knowsMe = this.peers.containsKey(address) && this.peers.get(address).live;
			return !knowsMe || ownAddress.compareTo(address) < 0;
		}).toList();
	}

	/**
	 * Tells whether this entry speaks for its data centre to others.
	 * @return true if it is among the first-ranked live entries of its data centre
	 */
	public boolean representative() {
		return rankedHere(REPRESENTATIVE_SEED, REPRESENTATIVES);
	}

	/**
	 * Returns the addresses that this entry talks to.
	 * @return control addresses
	 */
	public List<String> partners() {
		boolean representative = representative();
		List<String> partners = new ArrayList<>();
		Map<String, List<Peer>> abroad = new HashMap<>();
		for (Peer peer : this.peers.values()) {
			if (peer.report == null || peer.report.getDataCentre().equals(this.dataCentre)) {
				partners.add(peer.address);
			}
			else if (peer.live) {
				abroad.computeIfAbsent(peer.report.getDataCentre(), (key) -> new ArrayList<>()).add(peer);
			}
			else if (this.permanent.contains(peer.address)) {
				partners.add(peer.address);
			}
		}
		if (representative) {
			abroad.forEach((where, entries) -> RendezvousHashing
				.highestRanked(entries, Peer::name, "representative-" + where, REPRESENTATIVES)
				.forEach((peer) -> partners.add(peer.address)));
		}
		return partners;
	}

	/**
	 * Tells whether this entry should hold a watch on the platform.
	 * @return true if it is among the first-ranked live entries of its data centre
	 */
	public boolean relay() {
		return rankedHere(RELAY_SEED, RELAYS);
	}

	private boolean rankedHere(String seed, int count) {
		List<String> names = new ArrayList<>();
		names.add(this.ownName);
		liveHere().forEach((peer) -> names.add(peer.name()));
		return RendezvousHashing.highestRanked(names, (name) -> name, seed + this.dataCentre, count)
			.contains(this.ownName);
	}

	private List<Peer> liveHere() {
		return this.peers.values()
			.stream()
			.filter((peer) -> peer.live && peer.report.getDataCentre().equals(this.dataCentre))
			.toList();
	}

	/**
	 * Counts the live entries of all data centres, this one included.
	 * @return how many live
	 */
	public int liveEntries() {
		return 1 + (int) this.peers.values().stream().filter((peer) -> peer.live).count();
	}

	/**
	 * Returns the reports of the live peers of this data centre.
	 * @return their last reports
	 */
	public List<PeerReport> liveReportsHere() {
		return liveHere().stream().map((peer) -> peer.report).toList();
	}

	/**
	 * Returns how far the other data centres have come, as far as is known here.
	 * @return one value for each that was ever heard of
	 */
	public List<DataCentreProgress> otherDataCentres() {
		long nowMillis = this.clock.nowMillis();
		List<DataCentreProgress> known = new ArrayList<>();
		this.progress.forEach((where, value) -> known
			.add(new DataCentreProgress(where, value.revision(), nowMillis - value.asOfMillis(), value.waitsFor())));
		return known;
	}

	/**
	 * Returns addresses of entries that live.
	 * @return control addresses
	 */
	public List<String> liveAddresses() {
		return this.peers.values().stream().filter((peer) -> peer.live).map((peer) -> peer.address).toList();
	}

	private static final class Peer {

		private final String address;

		private PeerReport report;

		private long heardAttentiveMillis;

		private boolean live;

		private Peer(String address, long heardAttentiveMillis) {
			this.address = address;
			this.heardAttentiveMillis = heardAttentiveMillis;
		}

		private String name() {
			return this.report.getEntryName();
		}

	}

	private record Progress(long revision, long asOfMillis, String waitsFor) {
	}

}
