package org.snowwind.http.client.syntax;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.regex.Pattern;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a decoded head says what the server wrote, whichever octets are changed: its
 * status stands in a status line, and each field name before a colon at the start of a
 * line.
 */
class MutatedResponseTests {

	private static final int MUTATIONS = 20_000;

	private static final String CODEC = "codec";

	private static final List<String> VALID = List.of("HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\nX-Seal: s\r\n t\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nSum: 1\r\n\r\n",
			"HTTP/1.1 103 X\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.0 404 Not Found\r\nServer: a\r\n\r\nhello");

	private static final char[] OCTETS = { 0, 1, '\t', '\n', 0x0b, '\f', '\r', ' ', '"', '(', '+', ',', '-', '.', '/',
			'0', '1', '9', ':', ';', 'a', 'H', 0x7f, 0x85, 0xa0, 0xff };

	private static final Pattern TOKEN = Pattern.compile("[0-9A-Za-z!#$%&'*+.^_`|~-]+");

	private final ResponseFaults faults = new ResponseFaults();

	private static String mutate(String text, Random random) {
		StringBuilder mutated = new StringBuilder(text);
		int changes = 1 + random.nextInt(2);
		for (int i = 0; i < changes; i++) {
			int index = random.nextInt(mutated.length());
			char octet = OCTETS[random.nextInt(OCTETS.length)];
			switch (random.nextInt(3)) {
				case 0 -> mutated.setCharAt(index, octet);
				case 1 -> mutated.insert(index, octet);
				default -> mutated.deleteCharAt(index);
			}
		}
		return mutated.toString();
	}

	private void assertHeadIsWhatWasSent(String sent, Random random) {
		EmbeddedChannel connection = new EmbeddedChannel();
		connection.pipeline().addLast(CODEC, new HttpClientCodec());
		ResponseSyntax.on(connection, CODEC, this.faults);
		connection.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
		byte[] bytes = sent.getBytes(StandardCharsets.ISO_8859_1);
		int split = random.nextInt(bytes.length);
		receive(connection, bytes, 0, split);
		receive(connection, bytes, split, bytes.length);
		for (Object part = connection.readInbound(); part != null; part = connection.readInbound()) {
			if (part instanceof HttpResponse head && ((HttpObject) part).decoderResult().isSuccess()) {
				assertHeadIsWhatWasSent(head, sent);
			}
			ReferenceCountUtil.release(part);
		}
		connection.close();
		connection.releaseOutbound();
	}

	private static void receive(EmbeddedChannel connection, byte[] bytes, int from, int until) {
		if (connection.isOpen()) {
			connection.pipeline().fireChannelRead(Unpooled.copiedBuffer(bytes, from, until - from));
		}
	}

	private static void assertHeadIsWhatWasSent(HttpResponse head, String sent) {
		int status = head.status().code();
		assertThat(status).as(sent).isBetween(100, 599);
		assertThat(sent).containsPattern("HTTP/1\\.[0-9]\\s+" + status + "(\\s|$)");
		String lower = sent.toLowerCase(Locale.ROOT);
		for (Map.Entry<String, String> field : head.headers()) {
			assertThat(field.getKey()).as(sent).matches(TOKEN);
			assertThat(lower).contains("\n" + field.getKey().toLowerCase(Locale.ROOT) + ":");
		}
	}

	@Test
	void decodedHeadSaysWhatTheServerWrote() {
		Random random = new Random(1);
		for (int i = 0; i < MUTATIONS; i++) {
			assertHeadIsWhatWasSent(mutate(VALID.get(i % VALID.size()), random), random);
		}
		assertThat(this.faults.count(ResponseFault.FIELD_NAME)).isPositive();
		assertThat(this.faults.count(ResponseFault.STATUS_CODE)).isPositive();
	}

}
