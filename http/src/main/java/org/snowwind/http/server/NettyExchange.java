package org.snowwind.http.server;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.snowwind.http.EndToEndHeaders;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;

/**
 * An exchange over a Netty connection.
 */
final class NettyExchange implements HttpExchange {

	private static final Runnable NOTHING = () -> {
	};

	/** How much of an unwanted body is read away before the connection is closed. */
	private static final int MAX_DISCARDED_BYTES = 8 * 1024 * 1024;

	/** The smallest array that grows with a body, in bytes. */
	private static final int MIN_BODY_ARRAY_BYTES = 4 * 1024;

	/**
	 * How much an array grows: by more where the caller announced how long the body is.
	 */
	private static final int GROWTH = 2;

	private static final int GROWTH_ANNOUNCED = 4;

	private static final byte[] NO_BYTES = {};

	/** The retry delay after a fault, in milliseconds, for memory to become free. */
	private static final long FAULT_RETRY_AFTER_MILLIS = 1000;

	private static final Problem NOT_TAKEN = Problem
		.notRun(ProblemKind.OVERLOADED, "the request could not be read to its end")
		.retryAfter(FAULT_RETRY_AFTER_MILLIS);

	private final ChannelHandlerContext context;

	private final String method;

	private final String target;

	private final HttpHeaders headers;

	private final boolean expectsContinue;

	private final Runnable whenFinished;

	private final ConnectionUse connection;

	private final ConnectionBytes bytes;

	private final HttpHandler handler;

	private final RequestMemory.Holder memory;

	private boolean keepAlive;

	private final boolean headOnly;

	private Consumer<byte[]> bodyReader;

	private byte[] body = NO_BYTES;

	private int maxBodyBytes = -1;

	private int bodyBytes;

	private long discardedBytes;

	private boolean bodyEnded;

	private boolean handedOver;

	private boolean begun;

	private boolean ended;

	private Runnable whenGone = NOTHING;

	private Runnable whenRefused = NOTHING;

	private Runnable whenWritableChanges = NOTHING;

	NettyExchange(ChannelHandlerContext context, HttpRequest request, ConnectionUse connection, ConnectionBytes bytes,
			RequestMemory.Holder memory, HttpHandler handler, Runnable whenFinished) {
		this.context = context;
		this.connection = connection;
		this.bytes = bytes;
		this.handler = handler;
		this.memory = memory;
		this.whenFinished = whenFinished;
		this.method = request.method().name();
		this.target = request.uri();
		this.headers = request.headers();
		this.expectsContinue = HttpUtil.is100ContinueExpected(request);
		this.keepAlive = HttpUtil.isKeepAlive(request);
		this.headOnly = HttpMethod.HEAD.equals(request.method());
	}

	@Override
	public String method() {
		return this.method;
	}

	@Override
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

	@Override
	public String target() {
		return this.target;
	}

	@Override
	public String header(String name) {
		return this.headers.get(name);
	}

	@Override
	public Map<String, String> headers() {
		return EndToEndHeaders.of(this.headers);
	}

	@Override
	public ConnectionUse connection() {
		return this.connection;
	}

	@Override
	public void readBody(int maxBytes, Consumer<byte[]> whenRead, Runnable refused) {
		this.whenRefused = refused;
		this.maxBodyBytes = Math.min(maxBytes, this.memory.maxBodyBytes());
		if (announcedBytes() > this.maxBodyBytes) {
			refuseBody();
			return;
		}
		this.bodyReader = whenRead;
		if (this.expectsContinue) {
			FullHttpResponse goOn = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER);
			this.context.writeAndFlush(goOn);
		}
	}

	private long announcedBytes() {
		String length = this.headers.get(HttpHeaderNames.CONTENT_LENGTH);
		try {
			return (length != null) ? Long.parseLong(length.trim()) : 0;
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	private void refuseBody() {
		reject(Problem.notRun(ProblemKind.BODY_TOO_LARGE, "the body is larger than " + this.maxBodyBytes + " bytes"));
	}

	/**
	 * Rejects the request before it is complete, and closes the connection after the
	 * answer.
	 * @param problem the reason
	 */
	void reject(Problem problem) {
		this.bodyReader = null;
		this.body = NO_BYTES;
		this.whenRefused.run();
		closeAfterAnswer();
		this.handler.reject(this, problem);
	}

	void bodyPart(ByteBuf part, boolean last) {
		int partBytes = part.readableBytes();
		if (this.bodyReader == null) {
			this.discardedBytes += partBytes;
			discard(last);
			return;
		}
		if (partBytes > this.maxBodyBytes - this.bodyBytes) {
			refuseBody();
			return;
		}
		if (!growBody(this.bodyBytes + partBytes)) {
			return;
		}
		part.readBytes(this.body, this.bodyBytes, partBytes);
		this.bodyBytes += partBytes;
		if (last) {
			bodyComplete();
		}
	}

	private boolean growBody(int neededBytes) {
		if (neededBytes <= this.body.length) {
			return true;
		}
		long announcedBytes = announcedBytes();
		long mostBytes = (announcedBytes > 0) ? announcedBytes : this.maxBodyBytes;
		long grownBytes = Math.max(MIN_BODY_ARRAY_BYTES,
				(long) this.body.length * ((announcedBytes > 0) ? GROWTH_ANNOUNCED : GROWTH));
		int arrayBytes = (int) Math.max(neededBytes, Math.min(mostBytes, grownBytes));
		if (!this.memory.resizeBody(arrayBytes)) {
			return false;
		}
		this.body = Arrays.copyOf(this.body, arrayBytes);
		return true;
	}

	private void discard(boolean last) {
		if (this.discardedBytes > MAX_DISCARDED_BYTES) {
			this.context.close();
			return;
		}
		if (last && this.ended && !this.keepAlive) {
			ConnectionHandler.closeOnceWritten(this.context);
		}
		else if (last) {
			bodyFinished();
		}
	}

	private void bodyComplete() {
		byte[] whole = (this.body.length == this.bodyBytes) ? this.body : Arrays.copyOf(this.body, this.bodyBytes);
		Consumer<byte[]> reader = this.bodyReader;
		this.body = NO_BYTES;
		this.bodyReader = null;
		this.memory.resizeBody(this.bodyBytes);
		this.memory.completeRequest();
		bodyFinished();
		this.handedOver = true;
		reader.accept(whole);
	}

	private void bodyFinished() {
		this.bodyEnded = true;
		if (this.ended) {
			this.whenFinished.run();
		}
		else {
			this.context.channel().config().setAutoRead(false);
			this.context.read();
		}
	}

	boolean finished() {
		return this.bodyEnded && this.ended;
	}

	boolean ended() {
		return this.ended;
	}

	boolean bodyEnded() {
		return this.bodyEnded;
	}

	boolean endsConnection() {
		return this.ended && !this.keepAlive;
	}

	boolean owesAnswer() {
		return this.bodyEnded && !this.ended;
	}

	void bodyMalformed() {
		closeAfterAnswer();
		this.bodyReader = null;
		if (!this.begun) {
			reject(Problem.notRun(ProblemKind.MALFORMED_HTTP, "the body is not valid HTTP"));
		}
	}

	boolean waitsForCaller() {
		return this.ended || !this.bodyEnded;
	}

	@Override
	public void begin(int status, Map<String, String> extraHeaders) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		extraHeaders.forEach(response.headers()::set);
		if (!HttpUtil.isContentLengthSet(response)) {
			HttpUtil.setTransferEncodingChunked(response, true);
		}
		HttpUtil.setKeepAlive(response, this.keepAlive);
		this.begun = true;
		this.bytes.send(this.context, response);
	}

	@Override
	public void write(byte[] part) {
		if (!this.headOnly) {
			this.bytes.send(this.context, new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
		}
	}

	@Override
	public void buffered(long responseBytes) {
		this.bytes.buffered(responseBytes);
	}

	@Override
	public void end() {
		finish(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	@Override
	public void respond(int status, Map<String, String> extraHeaders, byte[] whole) {
		if (!beginsWhole()) {
			return;
		}
		ByteBuf content = this.headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(whole);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), content);
		extraHeaders.forEach(response.headers()::set);
		HttpUtil.setContentLength(response, whole.length);
		HttpUtil.setKeepAlive(response, this.keepAlive);
		this.begun = true;
		finish(response);
	}

	@Override
	public void respond(int status, Map<String, String> extraHeaders, List<byte[]> blocks, SendProgress progress) {
		if (!beginsWhole()) {
			progress.ended();
			return;
		}
		HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		extraHeaders.forEach(head.headers()::set);
		HttpUtil.setContentLength(head, blocks.stream().mapToLong((block) -> block.length).sum());
		HttpUtil.setKeepAlive(head, this.keepAlive);
		this.begun = true;
		finish(() -> this.bytes.sendBlocks(this.context, head, this.headOnly ? List.of() : blocks, progress));
	}

	private boolean beginsWhole() {
		if (this.begun) {
			abort();
			return false;
		}
		if (!this.bodyEnded && this.bodyReader != null) {
			closeAfterAnswer();
		}
		return true;
	}

	private void finish(HttpObject last) {
		finish(() -> this.bytes.send(this.context, last));
	}

	private void finish(Runnable sendLast) {
		this.bytes.buffered(0);
		this.body = NO_BYTES;
		this.bodyReader = null;
		this.memory.endRequest();
		sendLast.run();
		this.ended = true;
		this.whenGone = NOTHING;
		this.whenWritableChanges = NOTHING;
		if (!this.keepAlive && this.bodyEnded) {
			ConnectionHandler.closeOnceWritten(this.context);
		}
		else if (!this.keepAlive) {
			ConnectionHandler.closeOnceRead(this.context);
		}
		else if (this.bodyEnded) {
			this.whenFinished.run();
		}
	}

	@Override
	public void abort() {
		this.ended = true;
		this.memory.endRequest();
		this.context.close();
	}

	@Override
	public void reset() {
		this.bytes.reset();
	}

	@Override
	public boolean begun() {
		return this.begun;
	}

	@Override
	public boolean writable() {
		return this.context.channel().isWritable() || this.bytes.allowsReading();
	}

	@Override
	public void onWritableChange(Runnable whenChanged) {
		this.whenWritableChanges = whenChanged;
	}

	@Override
	public void onGone(Runnable gone) {
		this.whenGone = gone;
	}

	@Override
	public void closeAfterAnswer() {
		this.keepAlive = false;
	}

	void writableChanged() {
		this.whenWritableChanges.run();
	}

	/**
	 * Ends the request after a fault of this server. The caller is told that it did not
	 * run only if the handler never got its body.
	 */
	void fail() {
		this.body = NO_BYTES;
		this.bodyReader = null;
		try {
			// The handler still counts this request as open.
			gone();
		}
		finally {
			answerFault();
		}
	}

	private void answerFault() {
		if (this.begun) {
			abort();
			return;
		}
		closeAfterAnswer();
		this.handler.reject(this, this.handedOver
				? new Problem(ProblemKind.INTERNAL, "the request broke off here", Disclosure.UNKNOWN, 0) : NOT_TAKEN);
	}

	void gone() {
		Runnable told = this.whenGone;
		this.whenGone = NOTHING;
		if (!this.ended) {
			told.run();
		}
	}

}
