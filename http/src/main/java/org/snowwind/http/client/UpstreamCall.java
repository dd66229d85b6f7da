package org.snowwind.http.client;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
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

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private final DataLoop loop;

	private final UpstreamClient.Answers answers;

	private final UpstreamListener listener;

	private volatile Channel channel;

	private volatile boolean maybeSent;

	private boolean over;

	private int status;

	UpstreamCall(DataLoop loop, UpstreamClient.Answers answers, UpstreamListener listener) {
		this.loop = loop;
		this.answers = answers;
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
		if (!framed(headers)) {
			fail(new IOException("the answer has neither a length nor chunks, so its end cannot be checked"));
			return State.ABORT;
		}
		this.listener.onHead(this.status, EndToEndHeaders.of(headers));
		return this.over ? State.ABORT : State.CONTINUE;
	}

	private boolean framed(HttpHeaders headers) {
		boolean bodiless = this.status == NO_CONTENT || this.status == NOT_MODIFIED;
		boolean endsWithConnection = this.answers == UpstreamClient.Answers.FRAMED_OR_CLOSED;
		return endsWithConnection || bodiless || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
				|| headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, "chunked", true);
	}

	@Override
	public State onBodyPartReceived(HttpResponseBodyPart bodyPart) {
		if (this.over) {
			return State.ABORT;
		}
		if (bodyPart.length() > 0) {
			this.listener.onBytes(bodyPart.getBodyPartBytes());
		}
		return this.over ? State.ABORT : State.CONTINUE;
	}

	@Override
	public Void onCompleted() {
		this.loop.run(() -> {
			if (!this.over) {
				this.over = true;
				this.listener.onEnd();
			}
		});
		return null;
	}

	@Override
	public void onThrowable(Throwable cause) {
		this.loop.run(() -> fail(cause));
	}

	private void fail(Throwable cause) {
		if (!this.over) {
			this.over = true;
			this.listener.onFailure(this.maybeSent, cause);
		}
	}

}
