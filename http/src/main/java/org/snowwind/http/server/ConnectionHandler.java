package org.snowwind.http.server;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Splits one connection into exchanges, one at a time.
 *
 * <p>
 * While a request waits for its answer, one further read is allowed, which is how a
 * caller's hanging up is seen. What that read brings is held until its turn, so a caller
 * that pipelines cannot fill memory.
 */
final class ConnectionHandler extends ChannelInboundHandlerAdapter {

	/** The event that ends a connection as soon as no request is on it. */
	static final Object CLOSE_WHEN_IDLE = new Object();

	/** How long the rest of a refused body may take before the connection is closed. */
	private static final long LINGER_MILLIS = 1000;

	/** Stands for a request of which no whole head was read. */
	private static final HttpRequest UNREAD_REQUEST = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");

	/** What a line of a head takes beside its bytes, in bytes: an entry and two texts. */
	private static final int LINE_BYTES = 160;

	/** The decoder's buffer may be twice as large as what it holds. */
	private static final int RECEIVED_COPIES = 2;

	/** What a decoded part that waits for its turn takes beside its content, in bytes. */
	private static final int QUEUED_BYTES = 1024;

	/** The retry delay after a rejection for memory, in milliseconds. */
	private static final long MEMORY_RETRY_AFTER_MILLIS = 1000;

	private static final long NO_REQUEST = -1;

	/**
	 * How long a connection that owes nothing stays half-closed, in milliseconds, so that
	 * its caller sees an orderly end before a reset.
	 */
	private static final long SILENT_LINGER_MILLIS = 200;

	/**
	 * How long a connection must stay silent before it is closed without an answer, in
	 * milliseconds: a request that was sent before its caller could know of the close
	 * arrives within it.
	 */
	private static final long SILENCE_MILLIS = 200;

	/**
	 * The same for a connection that has carried no request, in milliseconds. It is
	 * longer because a caller connects in order to send a request.
	 */
	private static final long FIRST_REQUEST_MILLIS = 500;

	private final HttpHandler handler;

	private final MonotonicClock clock;

	private final ConnectionBytes bytes;

	private final RequestMemory.Holder memory;

	private final RequestMemory allMemory;

	private final long requestTimeoutMillis;

	private long requestSinceMillis = NO_REQUEST;

	/** What one read brought beyond the request that is being answered. */
	private final Deque<Object> held = new ArrayDeque<>();

	private NettyExchange current;

	private boolean replaying;

	private boolean decodedFromLastRead;

	private int lines;

	private boolean closing;

	/** Whether the connection is to be closed after the current or next answer. */
	private boolean leaving;

	private final PartialHead partialHead;

	private final long openedMillis;

	private int requests;

	private int reads;

	private ChannelHandlerContext context;

	ConnectionHandler(HttpHandler handler, MonotonicClock clock, ConnectionBytes bytes, RequestMemory allMemory,
			long requestTimeoutMillis, PartialHead partialHead) {
		this.handler = handler;
		this.clock = clock;
		this.bytes = bytes;
		this.allMemory = allMemory;
		this.memory = allMemory.open(this::rejectForMemory);
		this.requestTimeoutMillis = requestTimeoutMillis;
		this.partialHead = partialHead;
		this.openedMillis = clock.nowMillis();
		bytes.onReadOn(this::tellWritable);
		bytes.onWriteFailed(this::onWriteFailed);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.context = context;
	}

	/**
	 * Records bytes that were received, before they are decoded.
	 * @param received the bytes
	 * @return whether they are to be decoded
	 */
	boolean takes(ByteBuf received) {
		this.reads++;
		if (this.closing) {
			return false;
		}
		if (isRequestLate()) {
			rejectIncomplete(Problem.notRun(ProblemKind.REQUEST_TIMEOUT,
					"the request was not complete after " + this.requestTimeoutMillis + " ms"));
			return !this.closing;
		}
		int lines = headLines(received);
		this.decodedFromLastRead = false;
		return this.memory.receive(RECEIVED_COPIES * received.readableBytes() + LINE_BYTES * lines) || !this.closing;
	}

	private boolean isRequestLate() {
		if (busy()) {
			this.requestSinceMillis = NO_REQUEST;
			return false;
		}
		long nowMillis = this.clock.nowMillis();
		if (this.requestSinceMillis == NO_REQUEST) {
			this.requestSinceMillis = nowMillis;
		}
		return nowMillis - this.requestSinceMillis > this.requestTimeoutMillis;
	}

	// A body has lines of its own, which cost nothing.
	private int headLines(ByteBuf received) {
		boolean inBody = this.current != null && !this.current.bodyEnded();
		if (inBody && this.decodedFromLastRead) {
			return 0;
		}
		this.lines = 0;
		received.forEachByte((value) -> {
			this.lines += (value == '\n') ? 1 : 0;
			return true;
		});
		return this.lines;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.decodedFromLastRead = true;
		this.memory.decoded();
		this.partialHead.onDecoded();
		if (!busy() && this.held.isEmpty()) {
			process(context, message);
		}
		else if (!this.closing) {
			hold(message);
		}
		else {
			ReferenceCountUtil.release(message);
		}
	}

	// Copied, since a small part would keep the whole buffer that it was read into.
	private void hold(Object message) {
		Object kept = message;
		int contentBytes = 0;
		if (message instanceof HttpContent content && content.content().isReadable()) {
			contentBytes = content.content().readableBytes();
			kept = content.replace(Unpooled.copiedBuffer(content.content()));
			content.release();
		}
		this.held.add(kept);
		this.memory.queue(QUEUED_BYTES + contentBytes);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		boolean betweenRequests = this.current == null || this.current.bodyEnded();
		if (betweenRequests && this.memory.isDecoded()) {
			this.requestSinceMillis = NO_REQUEST;
		}
	}

	private boolean holdsRequest() {
		return this.held.stream().anyMatch(HttpRequest.class::isInstance);
	}

	private boolean busy() {
		return this.current != null && this.current.owesAnswer();
	}

	private void process(ChannelHandlerContext context, Object message) {
		try {
			if (message instanceof HttpRequest request) {
				takeOrDrop(context, request);
			}
			if (message instanceof HttpContent content && !this.closing) {
				onContent(content);
			}
		}
		catch (RuntimeException | Error ex) {
			fail(context, ex, "http handler");
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void nextRequest(ChannelHandlerContext context) {
		if (this.replaying) {
			return;
		}
		this.replaying = true;
		while (!this.held.isEmpty() && !busy()) {
			process(context, this.held.removeFirst());
		}
		if (this.held.isEmpty()) {
			this.memory.dequeueAll();
		}
		this.replaying = false;
		if (!busy()) {
			context.channel().config().setAutoRead(true);
			if (this.leaving) {
				closeOnceSilent(context);
			}
		}
	}

	// A request behind the last answer of its connection would run and never be answered.
	private void takeOrDrop(ChannelHandlerContext context, HttpRequest request) {
		if (this.current != null && this.current.endsConnection()) {
			this.closing = true;
		}
		if (!this.closing) {
			onHead(context, request);
		}
	}

	private void onHead(ChannelHandlerContext context, HttpRequest request) {
		if (!this.memory.beginRequest(headBytes(request))) {
			return;
		}
		this.current = newExchange(context, request);
		if (this.leaving && !holdsRequest()) {
			this.current.closeAfterAnswer();
		}
		DecoderResult decoded = request.decoderResult();
		if (decoded.isFailure()) {
			this.current.closeAfterAnswer();
			this.handler.reject(this.current, problemOf(decoded.cause()));
			return;
		}
		if (!RequestTarget.isValid(request.method().name(), request.uri())) {
			this.current.closeAfterAnswer();
			this.handler.reject(this.current,
					Problem.notRun(ProblemKind.MALFORMED_HTTP, "the request target is not valid HTTP"));
			return;
		}
		this.handler.handle(this.current);
	}

	private static long headBytes(HttpRequest request) {
		long bytes = request.uri().length();
		Iterator<Map.Entry<CharSequence, CharSequence>> headers = request.headers().iteratorCharSequence();
		while (headers.hasNext()) {
			Map.Entry<CharSequence, CharSequence> header = headers.next();
			bytes += LINE_BYTES + header.getKey().length() + header.getValue().length();
		}
		return bytes;
	}

	private NettyExchange newExchange(ChannelHandlerContext context, HttpRequest request) {
		ConnectionUse use = new ConnectionUse(this.clock.nowMillis() - this.openedMillis, this.requests);
		this.requests++;
		return new NettyExchange(context, request, use, this.bytes, this.memory, this.handler,
				() -> nextRequest(context));
	}

	private void onContent(HttpContent content) {
		if (this.current == null) {
			return;
		}
		if (content.decoderResult().isFailure()) {
			this.current.bodyMalformed();
			return;
		}
		this.current.bodyPart(content.content(), content instanceof LastHttpContent);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		tellWritable();
	}

	private void tellWritable() {
		if (this.current != null) {
			this.current.writableChanged();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		releaseHeld();
		this.memory.close();
		this.bytes.gone();
		if (this.current != null) {
			this.current.gone();
		}
	}

	private void releaseHeld() {
		this.held.forEach(ReferenceCountUtil::release);
		this.held.clear();
		this.memory.dequeueAll();
	}

	private void rejectForMemory() {
		boolean open = this.current != null && !this.current.ended();
		EventLog.log(Event.REQUEST_REJECTED_FOR_MEMORY, "request", open ? requestId() : null, "sumBytes",
				this.allMemory.sumBytes(), "boundBytes", this.allMemory.boundBytes());
		if (busy()) {
			// Only what follows the current request is rejected.
			this.closing = true;
			releaseHeld();
			this.current.closeAfterAnswer();
			return;
		}
		rejectIncomplete(Problem.notRun(ProblemKind.OVERLOADED, "too much is held for other requests")
			.retryAfter(MEMORY_RETRY_AFTER_MILLIS));
	}

	private void rejectIncomplete(Problem problem) {
		try {
			boolean answered = this.current != null && this.current.ended() && !this.current.bodyEnded();
			if (answered) {
				closeOnceWritten(this.context);
				this.closing = true;
				return;
			}
			if (this.current == null || this.current.ended()) {
				this.closing = true;
				this.current = newExchange(this.context, UNREAD_REQUEST);
			}
			this.current.reject(problem);
		}
		catch (RuntimeException | Error ex) {
			fail(this.context, ex, "rejecting a request");
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event == CLOSE_WHEN_IDLE) {
			closeWhenIdle(context);
			return;
		}
		boolean waitsForCaller = this.current == null || this.current.waitsForCaller();
		if (event instanceof IdleStateEvent && waitsForCaller) {
			closeIfIdle(context);
		}
	}

	// On a busy loop the event may come before a read of what has arrived in time.
	private void closeIfIdle(ChannelHandlerContext context) {
		if (this.bytes.isBeingTaken()) {
			return;
		}
		int readsBefore = this.reads;
		KernelReads.read(context.channel());
		if (this.reads == readsBefore) {
			context.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof IOException) {
			context.close();
			return;
		}
		// A failed read ends with a close, which would reset the connection before the
		// caller has read its answer.
		context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
		boolean betweenRequests = this.current == null || this.current.finished();
		if (betweenRequests && !this.closing) {
			this.current = newExchange(context, UNREAD_REQUEST);
		}
		fail(context, cause, "connection");
	}

	private void fail(ChannelHandlerContext context, Throwable cause, String where) {
		this.closing = true;
		releaseHeld();
		try {
			EventLog.log(Event.INTERNAL_FAULT, cause, "where", where, "request", requestId());
			if (this.current == null || this.current.ended()) {
				closeOnceWritten(context);
			}
			else {
				this.current.fail();
			}
		}
		catch (RuntimeException | Error ex) {
			context.close();
			EventLog.log(Event.INTERNAL_FAULT, ex, "where", "answering a fault");
		}
	}

	private String requestId() {
		return (this.current != null) ? this.handler.requestId(this.current) : null;
	}

	// What follows an answer that was not written whole would be taken for its rest.
	private void onWriteFailed(Throwable cause) {
		this.context.close();
		EventLog.log(Event.INTERNAL_FAULT, cause, "where", "writing to a caller", "request", requestId());
	}

	private void closeWhenIdle(ChannelHandlerContext context) {
		if (this.leaving) {
			return;
		}
		this.leaving = true;
		if (betweenRequests()) {
			closeOnceSilent(context);
		}
		else if (!this.current.begun() && !holdsRequest()) {
			this.current.closeAfterAnswer();
		}
		// An answer that has begun said that the connection is kept, so that the next
		// request may be on its way when it ends.
	}

	private boolean betweenRequests() {
		return this.current == null || this.current.finished();
	}

	private void closeOnceSilent(ChannelHandlerContext context) {
		int requestsBefore = this.requests;
		long silenceMillis = (requestsBefore == 0) ? FIRST_REQUEST_MILLIS : SILENCE_MILLIS;
		context.executor().schedule(() -> closeIfSilent(context, requestsBefore), silenceMillis, TimeUnit.MILLISECONDS);
	}

	private void closeIfSilent(ChannelHandlerContext context, int requestsBefore) {
		if (!betweenRequests() || this.requests > requestsBefore) {
			return;
		}
		KernelReads.read(context.channel());
		boolean silent = this.requests == requestsBefore && !this.partialHead.isPending();
		if (silent) {
			this.closing = true;
			closeUnread(context);
		}
	}

	// A request that crosses the close stays unread, so that its caller may repeat it.
	private static void closeUnread(ChannelHandlerContext context) {
		context.channel().config().setAutoRead(false);
		context.writeAndFlush(Unpooled.EMPTY_BUFFER)
			.addListener((written) -> LingeringClose.beginUnread(context.channel(), SILENT_LINGER_MILLIS));
	}

	/**
	 * Closes a connection when the caller has taken what was written: closing at once
	 * would drop the rest of an answer that a slow caller still reads.
	 * @param context the connection
	 */
	static void closeOnceWritten(ChannelHandlerContext context) {
		context.writeAndFlush(Unpooled.EMPTY_BUFFER)
			.addListener((written) -> LingeringClose.begin(context.channel(), LINGER_MILLIS));
	}

	/**
	 * Closes a connection when the rest of a refused body may have come: closing on
	 * unread bytes would reset the connection and lose the answer.
	 * @param context the connection
	 */
	static void closeOnceRead(ChannelHandlerContext context) {
		context.executor().schedule((Runnable) context::close, LINGER_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static Problem problemOf(Throwable cause) {
		if (cause instanceof TooLongHttpLineException) {
			return Problem.notRun(ProblemKind.URI_TOO_LONG, "the request line is too long");
		}
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongFrameException) {
			return Problem.notRun(ProblemKind.HEADERS_TOO_LARGE, "the headers are too large");
		}
		return Problem.notRun(ProblemKind.MALFORMED_HTTP, "the message is not valid HTTP");
	}

}
