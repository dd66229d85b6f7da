package org.snowwind.app.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.snowwind.app.load.Caller;
import org.snowwind.app.trial.TrialFleet;
import org.snowwind.app.trial.TrialSettings;
import org.snowwind.config.settings.Addresses;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.standin.EngineSettings;
import org.snowwind.standin.StandInEngine;

/**
 * What entry and agent add to an engine's answers, against calling the engine directly,
 * by turns in one run.
 */
final class PathMeasurement implements Measurement {

	private static final int TOKENS = 40;

	private static final int WARM_UP = 200;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double FIRST_TOKEN_MILLIS = 330;

	private static final double BETWEEN_TOKENS_MILLIS = 37;

	private static final int P95 = 95;

	private static final List<Integer> STREAMS = List.of(1, 16, 64);

	@Override
	public String name() {
		return "path";
	}

	@Override
	public String summary() {
		return "latency and CPU that entry and agent add, against calling the engine directly";
	}

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		List<Caller> callers = MeasureFleet.callers(1);
		EngineSettings engine = EngineSettings.DEFAULT.withPace(5, 128);
		TrialSettings settings = TrialSettings.DEFAULT.sized(List.of("casa"), 1, 1, 0)
			.withEngines(engine, 128, 256, 256);
		DataLoop loop = new DataLoop("probe");
		DataLoop directLoop = new DataLoop("direct");
		try (TrialFleet fleet = MeasureFleet.start(settings, callers, MeasureFleet.generous());
				UpstreamClient client = new UpstreamClient(loop, 1000);
				StandInEngine direct = new StandInEngine(directLoop, engine)) {
			String directUrl = "http://"
					+ Addresses.render(
							direct.start(new java.net.InetSocketAddress(java.net.InetAddress.getLoopbackAddress(), 0)))
					+ "/v1/generate";
			String pathUrl = fleet.callerUrls().get(0) + "/v1/models/" + TrialFleet.MODEL + "/generate";
			Map<String, String> key = Map.of("Authorization", "Bearer " + callers.get(0).key());
			return measure(options, (url, headers) -> new StreamProbe(loop, client, url, headers, TOKENS),
					new Ends(directUrl, pathUrl, key));
		}
		finally {
			loop.close();
			directLoop.close();
		}
	}

	private static List<Figure> measure(MeasureOptions options, ProbeFactory probes, Ends ends)
			throws MeasurementFailed, InterruptedException {
		probes.probe(ends.directUrl(), Map.of()).run(WARM_UP, 16);
		probes.probe(ends.pathUrl(), ends.key()).run(WARM_UP, 16);
		List<Figure> figures = new ArrayList<>();
		for (int streams : STREAMS) {
			StreamProbe direct = probes.probe(ends.directUrl(), Map.of());
			StreamProbe path = probes.probe(ends.pathUrl(), ends.key());
			int rounds = options.repeats(6, 2);
			int perRound = Math.max(streams * 2, 10);
			long entryNanos = -ThreadCpu.nanos("entry-");
			long agentNanos = -ThreadCpu.nanos("agent-");
			for (int round = 0; round < rounds; round++) {
				direct.run(perRound, streams);
				path.run(perRound, streams);
			}
			entryNanos += ThreadCpu.nanos("entry-");
			agentNanos += ThreadCpu.nanos("agent-");
			String suffix = " at " + streams + ((streams == 1) ? " stream" : " streams");
			latency(figures, suffix, direct, path);
			cost(figures, suffix, rounds * perRound, entryNanos, agentNanos);
			figures.add(Figure.of("failed" + suffix, path.failures(), "requests").against(direct.failures()).atMost(0));
		}
		return figures;
	}

	private static void latency(List<Figure> figures, String suffix, StreamProbe direct, StreamProbe path) {
		for (int percentile : List.of(50, 99)) {
			figures.add(Figure
				.of("added first token p" + percentile + suffix,
						millis(path.firstToken(), percentile) - millis(direct.firstToken(), percentile), "ms")
				.against(millis(direct.firstToken(), percentile)));
			figures.add(Figure
				.of("added between tokens p" + percentile + suffix,
						millis(path.betweenTokens(), percentile) - millis(direct.betweenTokens(), percentile), "ms")
				.against(millis(direct.betweenTokens(), percentile)));
		}
		figures.add(Figure.of("first token p95" + suffix, millis(path.firstToken(), P95), "ms")
			.against(millis(direct.firstToken(), P95))
			.atMost(FIRST_TOKEN_MILLIS));
		figures.add(Figure.of("between tokens p95" + suffix, millis(path.betweenTokens(), P95), "ms")
			.against(millis(direct.betweenTokens(), P95))
			.atMost(BETWEEN_TOKENS_MILLIS));
	}

	private static void cost(List<Figure> figures, String suffix, int requests, long entryNanos, long agentNanos) {
		figures
			.add(Figure.of("entry requests a core-second" + suffix, requests * NANOS_PER_SECOND / entryNanos, "1/s"));
		figures.add(Figure.of("entry tokens a core-second" + suffix,
				(double) requests * TOKENS * NANOS_PER_SECOND / entryNanos, "1/s"));
		figures.add(Figure.of("agent tokens a core-second" + suffix,
				(double) requests * TOKENS * NANOS_PER_SECOND / agentNanos, "1/s"));
	}

	private static double millis(Histogram histogram, int percentile) {
		return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
	}

	@FunctionalInterface
	private interface ProbeFactory {

		StreamProbe probe(String url, Map<String, String> headers);

	}

	private record Ends(String directUrl, String pathUrl, Map<String, String> key) {
	}

}
