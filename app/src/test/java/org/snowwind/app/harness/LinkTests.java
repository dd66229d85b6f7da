package org.snowwind.app.harness;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link Link}: what is held back is neither lost nor reordered.
 */
class LinkTests {

	private static final int SILENT_MILLIS = 200;

	private static final int READ_TIMEOUT_MILLIS = 10_000;

	private static Link linkTo(ServerSocket target) throws Exception {
		return new Link(new InetSocketAddress(target.getInetAddress(), target.getLocalPort()));
	}

	private static Socket connect(Link link) throws Exception {
		String port = link.address().substring(link.address().indexOf(':') + 1);
		return new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(port));
	}

	private static void write(Socket socket, String text) throws Exception {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String read(Socket socket, int bytes) throws Exception {
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		return new String(socket.getInputStream().readNBytes(bytes), StandardCharsets.UTF_8);
	}

	private static void assertSilent(Socket socket) throws Exception {
		socket.setSoTimeout(SILENT_MILLIS);
		assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> socket.getInputStream().read());
	}

	@Test
	void answersThatAreHeldBackArriveInOrderAfterTheLastHold() throws Exception {
		try (ServerSocket target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
				Link link = linkTo(target);
				Socket near = connect(link);
				Socket far = target.accept()) {
			link.holdAnswers();
			link.holdAnswers();
			write(near, "request");
			assertThat(read(far, 7)).as("requests still arrive").isEqualTo("request");
			write(far, "a");
			write(far, "b".repeat(20_000));
			link.silence(false, false);
			link.releaseAnswers();
			assertSilent(near);
			write(far, "c");
			link.releaseAnswers();
			assertThat(read(near, 20_002)).isEqualTo("a" + "b".repeat(20_000) + "c");
		}
	}

	@Test
	void connectionsOpenedDuringAHoldCarryRequestsAndNoAnswers() throws Exception {
		try (ServerSocket target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
				Link link = linkTo(target)) {
			link.holdAnswers();
			try (Socket near = connect(link); Socket far = target.accept()) {
				write(near, "request");
				assertThat(read(far, 7)).isEqualTo("request");
				write(far, "answer");
				assertSilent(near);
				link.releaseAnswers();
				assertThat(read(near, 6)).isEqualTo("answer");
			}
		}
	}

}
