package org.snowwind.http.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.snowwind.http.DataLoop;
import org.snowwind.http.EndToEndHeaders;

/**
 * A request under way, confined to the loop.
 */
public final class UpstreamCall implements AsyncHandler<Void> {

	private static final int OK = 200;

	private final DataLoop loop;

	private final UpstreamClient.Answers answers;

	private final String method;

	private final UpstreamListener listener;

	private volatile Channel channel;

	private volatile boolean maybeSent;

	private boolean over;

	private UnusedBytes unusedBytes;

	/** The content of the current read that the listener does not have yet. */
	private ByteArrayOutputStream received = new ByteArrayOutputStream();

	private boolean withinRead;

	private int status;

	/** {@code null} before the head. */
	private ResponseFraming framing;

	private boolean hasContent;

	UpstreamCall(DataLoop loop, UpstreamClient.Answers answers, String method, UpstreamListener listener) {
		this.loop = loop;
		this.answers = answers;
		this.method = method;
		this.listener = listener;
	}

	/**
	 * Ends the call by closing its connection; the listener hears nothing more.
	 */
	public void cancel() {
		this.over = true;
		Channel current = this.channel;
		if (current != null) {
			current.close();
		}
	}

	/**
	 * Takes or stops taking bytes from the peer.
	 * @param reading whether to take them
	 */
	public void reading(boolean reading) {
		Channel current = this.channel;
		if (current != null && !this.over) {
			ReadGate.set(current, reading);
		}
	}

	/**
	 * Records how much of the body the listener has discarded. The call fails if that is
	 * much more than what it has used.
	 * @param bytes the number of bytes of the body so far
	 */
	public void dropped(long bytes) {
		if (this.unusedBytes != null && !this.over) {
			this.unusedBytes.dropped(bytes);
		}
	}

	/**
	 * Collects content from now on: what one read brings is handed over at once, in
	 * however many chunks it came.
	 */
	void beginRead() {
		this.withinRead = true;
	}

	/**
	 * Hands over the content of the read.
	 */
	void endRead() {
		this.withinRead = false;
		handOver();
	}

	private void handOver() {
		if (this.received.size() == 0) {
			return;
		}
		byte[] bytes = this.received.toByteArray();
		// A large array is not kept for the life of the call.
		this.received = new ByteArrayOutputStream();
		if (!this.over) {
			this.listener.onBytes(bytes);
		}
	}

	@Override
	public void onTcpConnectSuccess(InetSocketAddress remoteAddress, Channel connection) {
		adopt(connection);
	}

	@Override
	public void onConnectionPooled(Channel connection) {
		adopt(connection);
	}

	private void adopt(Channel connection) {
		this.channel = connection;
		if (this.over) {
			connection.close();
			return;
		}
		// An earlier call on a kept connection may have stopped reading.
		ReadGate.set(connection, true);
		this.unusedBytes = UnusedBytes.of(connection);
		this.unusedBytes.begin(this);
	}

	@Override
	public void onRequestSend(NettyRequest request) {
		this.maybeSent = true;
	}

	@Override
	public State onStatusReceived(HttpResponseStatus responseStatus) {
		this.status = responseStatus.getStatusCode();
		return State.CONTINUE;
	}

	@Override
	public State onHeadersReceived(HttpHeaders headers) {
		if (this.over) {
			return State.ABORT;
		}
		this.framing = ResponseFraming.of(this.method, this.status, headers);
		if (!this.framing.isDelimited() && this.answers == UpstreamClient.Answers.FRAMED) {
			fail(new IOException("the answer has neither a length nor chunks, so its end cannot be checked"));
			return State.ABORT;
		}
		this.listener.onFraming(this.framing);
		this.listener.onHead(this.status, EndToEndHeaders.of(headers));
		return this.over ? State.ABORT : State.CONTINUE;
	}

	@Override
	public State onBodyPartReceived(HttpResponseBodyPart bodyPart) {
		if (this.over) {
			return State.ABORT;
		}
		if (bodyPart.length() > 0) {
			this.hasContent = true;
			this.unusedBytes.content(bodyPart.length());
			this.received.writeBytes(bodyPart.getBodyPartBytes());
			if (!this.withinRead) {
				handOver();
			}
		}
		return this.over ? State.ABORT : State.CONTINUE;
	}

	@Override
	public Void onCompleted() {
		this.loop.run(() -> {
			if (isHeadAlone()) {
				fail(new IOException("the connection was closed after the head of an answer without a length"));
				return;
			}
			handOver();
			if (!this.over) {
				this.over = true;
				this.listener.onEnd();
			}
		});
		return null;
	}

	// A server that stops after the head looks the same as one that has no content, and a
	// success without content is rare.
	private boolean isHeadAlone() {
		return this.status == OK && this.framing == ResponseFraming.CONNECTION_END && !this.hasContent;
	}

	@Override
	public void onThrowable(Throwable cause) {
		this.loop.run(() -> fail(cause));
	}

	private void fail(Throwable cause) {
		if (this.over) {
			return;
		}
		try {
			handOver();
		}
		finally {
			endFailed(cause);
		}
	}

	private void endFailed(Throwable cause) {
		if (!this.over) {
			this.over = true;
			this.listener.onFailure(this.maybeSent, cause);
		}
	}

}
