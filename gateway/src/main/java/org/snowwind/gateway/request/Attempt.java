package org.snowwind.gateway.request;

import java.util.List;
import java.util.Map;

import org.snowwind.decide.outcome.AttemptEnd;
import org.snowwind.gateway.backend.Backend;
import org.snowwind.gateway.backend.BackendNotices;
import org.snowwind.gateway.table.RepeatPolicy;
import org.snowwind.http.client.ResponseFraming;
import org.snowwind.http.client.UpstreamCall;
import org.snowwind.http.client.UpstreamListener;
import org.snowwind.http.client.UpstreamRequest;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * One attempt to run a request on one backend server. Confined to the event loop.
 */
final class Attempt implements UpstreamListener {

	private static final int SERVER_ERROR = 500;

	/**
	 * How much a server may repeat of a stream that the caller began elsewhere, in bytes,
	 * beyond what this gateway has passed on.
	 */
	private static final long MAX_REPLAY_BYTES = 4 << 20;

	/** Repeated events may be framed or written differently. */
	private static final long REPLAY_FACTOR = 2;

	private final RequestContext context;

	private final CallerRequest request;

	private final Backend backend;

	private final long tokens;

	private final String afterId;

	/** How much of its stream the server may repeat, in bytes. */
	private final long replayBytes;

	private final AttemptListener listener;

	private final long sentMillis;

	private UpstreamCall call;

	private int status;

	private long receivedBytes;

	private ResponseBuffer response;

	/** Counts what is held of the response; {@code null} before its head. */
	private AnswerMemory.Holder held;

	private final EventTimes eventTimes;

	private String cause = "";

	/**
	 * Whether this gateway closed the connection, so that its end says nothing about the
	 * server.
	 */
	private boolean abortedByGateway;

	/** Whether an error in this process ended the attempt. */
	private boolean faultOfGateway;

	private boolean ended;

	private boolean streaming;

	private ResponseFraming framing = ResponseFraming.CONNECTION_END;

	private final SilenceTimer silence;

	private long idleLimitMillis;

	/**
	 * Creates an attempt that is not sent yet.
	 * @param context the components that requests share
	 * @param request the request
	 * @param backend the backend server
	 * @param tokens the memory that the request needs at the server, in tokens
	 * @param position the position after which the stream continues
	 * @param listener notified of the response and of the end of the attempt
	 */
	Attempt(RequestContext context, CallerRequest request, Backend backend, long tokens, StreamPosition position,
			AttemptListener listener) {
		this.context = context;
		this.request = request;
		this.backend = backend;
		this.tokens = tokens;
		this.afterId = position.lastId();
		this.replayBytes = (this.afterId != null) ? MAX_REPLAY_BYTES + REPLAY_FACTOR * position.bytes() : 0;
		this.listener = listener;
		this.sentMillis = context.clock().nowMillis();
		this.eventTimes = new EventTimes(this.sentMillis);
		this.silence = new SilenceTimer(context.loop(), context.backends()::attentiveMillis,
				() -> listener.onSilent(this));
	}

	/**
	 * Sends the attempt.
	 * @param remainingMillis the time until the request's deadline, in milliseconds
	 * @param limits how long the server may send nothing until the listener is notified
	 */
	void send(long remainingMillis, SilenceLimits limits) {
		this.backend.onSending(this.context.backends().attentiveMillis());
		this.backend.onSent(this.sentMillis);
		this.backend.addHeldTokens(this.tokens);
		this.idleLimitMillis = limits.idleMillis();
		this.silence.start(limits.firstByteMillis());
		AttemptMetadata attemptMetadata = new AttemptMetadata(this.backend.id(), remainingMillis,
				this.request.organisation(), this.afterId, this.request.host(), this.request.priority());
		Map<String, String> headers = this.context.dialect()
			.backendRequestHeaders(this.request.headers(), attemptMetadata);
		String origin = "http://" + this.backend.entry().address();
		this.call = this.context.client()
			.send(new UpstreamRequest(this.request.method(), origin, this.request.target(), headers,
					this.request.body()), this);
	}

	Backend backend() {
		return this.backend;
	}

	/**
	 * Returns whether the connection was lost rather than closed by this gateway.
	 * @return false if this gateway aborted the attempt
	 */
	boolean lostConnection() {
		return !this.abortedByGateway;
	}

	/**
	 * Returns why the attempt ended without a response.
	 * @return one line; empty if no cause is known
	 */
	String cause() {
		return this.cause;
	}

	/**
	 * Returns whether a complete response is certain to be the whole one. One that ends
	 * with its connection is not: the server may have crashed.
	 * @return true if the response has a length or chunks, or no body
	 */
	boolean isFramed() {
		return this.framing.isDelimited();
	}

	long sentMillis() {
		return this.sentMillis;
	}

	/**
	 * Returns the part of the response that has arrived.
	 * @return the buffered response; {@code null} before the head of a credible response
	 */
	ResponseBuffer response() {
		return this.response;
	}

	/**
	 * Releases the response, which is not sent to the caller any more.
	 */
	void release() {
		if (this.held != null) {
			this.held.close();
			this.response.discard();
		}
	}

	/**
	 * Returns the arrival times of this server's events. They exclude a pause that
	 * started with an event of another server.
	 * @return the event times of this attempt
	 */
	EventTimes eventTimes() {
		return this.eventTimes;
	}

	/**
	 * Starts or stops reading from the server.
	 * @param reading whether to read
	 */
	void setReading(boolean reading) {
		if (!this.ended && this.call != null) {
			this.call.reading(reading);
			this.silence.setReading(reading);
		}
	}

	/**
	 * Returns whether the server has sent nothing for longer than its limit.
	 * @return false also if there is no limit
	 */
	boolean isSilent() {
		return !this.ended && this.silence.isSilent();
	}

	long silentMillis() {
		return this.silence.silentMillis();
	}

	/**
	 * Ends the attempt without notifying its listener. Cancelling the call makes the
	 * server stop its work.
	 * @param reason the reason, for the log
	 */
	void abandon(String reason) {
		if (!this.ended) {
			boolean silent = isSilent();
			this.cause = reason;
			this.abortedByGateway = true;
			close();
			release();
			cancelCall();
			if (silent && this.context.backends().hearsAnother(this.backend)) {
				this.backend.onFailure(this.context.clock().nowMillis());
			}
			else {
				this.backend.onInconclusiveEnd();
			}
			recordEnd("ABANDONED");
			wakeWaiting();
		}
	}

	private void cancelCall() {
		if (this.call != null) {
			this.call.cancel();
		}
	}

	@Override
	public void onFraming(ResponseFraming responseFraming) {
		this.framing = responseFraming;
	}

	@Override
	public void onHead(int answerStatus, Map<String, String> headers) {
		if (this.ended) {
			return;
		}
		this.status = answerStatus;
		recordHeard();
		ResponseMetadata metadata = this.context.dialect().readResponse(answerStatus, headers);
		recordNotice(metadata);
		if (metadata.rejected()) {
			if (metadata.fromOtherInstance()) {
				this.backend.onReplaced();
			}
			cancelCall();
			finish(AttemptEnd.REFUSED);
			return;
		}
		if (!metadata.isCredible(answerStatus, this.request.id())) {
			abort("the response is not a valid response to this request");
			return;
		}
		if (this.request.route().repeatPolicy() == RepeatPolicy.STREAM) {
			this.streaming = true;
			this.backend.onStreamStart(this.context.clock().nowMillis());
			wakeWaiting();
		}
		this.silence.start(this.idleLimitMillis);
		this.response = bufferFor(answerStatus, headers);
		this.held = this.context.answerMemory()
			.open(this.backend.id(), this.response.isStream(), this::onMemoryExceeded);
		this.listener.onResponseStart(this, this.response);
	}

	private void recordHeard() {
		this.context.suspects().heard(this.backend.entry().incarnation());
		this.backend.onHeard(this.context.backends().attentiveMillis());
	}

	// Another server at the address, or a response to another request, says nothing about
	// the current state of this server.
	private void recordNotice(ResponseMetadata metadata) {
		if (!metadata.fromOtherInstance() && !metadata.answersOtherRequest(this.request.id())) {
			this.context.backends()
				.onResponseHead(this.backend, metadata.notice(),
						new BackendNotices.Source(this.request.id(), metadata.signed(), this.sentMillis));
		}
	}

	private ResponseBuffer bufferFor(int answerStatus, Map<String, String> headers) {
		boolean stream = this.request.route().repeatPolicy() == RepeatPolicy.STREAM
				&& answerStatus == ResponseBuffer.OK;
		return stream ? ResponseBuffer.ofStream(headers, this.afterId)
				: ResponseBuffer.ofPlainResponse(answerStatus, headers);
	}

	private void onMemoryExceeded(String reason) {
		EventLog.log(Event.ANSWER_OVER_MEMORY, "request", this.request.id(), "server", this.backend.id(), "reason",
				reason, "receivedBytes", this.receivedBytes, "sumBytes", this.context.answerMemory().sumBytes());
		this.response.discard();
		abort(reason);
	}

	@Override
	public void onBytes(byte[] bytes) {
		if (this.ended || !this.held.holds((long) this.response.heldBytes() + bytes.length)) {
			return;
		}
		this.silence.heard();
		recordHeard();
		this.receivedBytes += bytes.length;
		List<StreamEvent> events = this.response.append(bytes);
		this.held.holds(this.response.heldBytes());
		this.call.dropped(Math.max(0, this.response.droppedBytes() - this.replayBytes));
		if (!events.isEmpty()) {
			this.listener.onEvents(this, events);
		}
		if (this.response.hasSecondResponse()) {
			abort("the head of a second response was found within the stream");
		}
	}

	@Override
	public void onEnd() {
		finish(AttemptEnd.ANSWERED);
	}

	@Override
	public void onFailure(boolean maybeSent, Throwable failure) {
		this.cause = String.valueOf(failure.getMessage());
		if (failure instanceof Error) {
			// This process lacks memory, for example, which says nothing about the
			// server.
			this.abortedByGateway = true;
			this.faultOfGateway = true;
		}
		try {
			finish(failureEnd(maybeSent));
		}
		finally {
			logFault(failure);
		}
	}

	private AttemptEnd failureEnd(boolean maybeSent) {
		if (!maybeSent) {
			return AttemptEnd.NOT_SENT;
		}
		return (this.status != 0) ? AttemptEnd.BEGAN_THEN_BROKE : AttemptEnd.LOST_FOR_GOOD;
	}

	// Called after the listener, since logging allocates memory.
	private void logFault(Throwable failure) {
		if (failure instanceof Error) {
			EventLog.log(Event.INTERNAL_FAULT, failure, "where", "attempt", "request", this.request.id(), "server",
					this.backend.id());
		}
	}

	/**
	 * Aborts the attempt.
	 * @param reason the reason, for the log
	 */
	void abort(String reason) {
		if (!this.ended) {
			this.cause = reason;
			this.abortedByGateway = true;
			cancelCall();
			finish(failureEnd(true));
		}
	}

	private void finish(AttemptEnd end) {
		if (this.ended) {
			return;
		}
		close();
		// A request of whose end the listener is not told looks as if it was in flight.
		try {
			recordResult(end);
			recordEnd(end.name());
		}
		finally {
			this.listener.onAttemptEnd(this, end);
			// The listener reads how much of the response is held.
			if (end != AttemptEnd.ANSWERED) {
				release();
			}
		}
		wakeWaiting();
	}

	// Called after the listener, so that a retry of this request is in the queue already.
	private void wakeWaiting() {
		this.context.waiting().wake(this.request.service());
	}

	private void close() {
		this.ended = true;
		this.backend.addHeldTokens(-this.tokens);
		this.silence.stop();
		if (this.streaming) {
			this.backend.onStreamEnd();
		}
	}

	private void recordEnd(String name) {
		this.context.meters().countAttempt(this.request.service(), name);
		EventLog.log(Event.ATTEMPT_ENDED, "request", this.request.id(), "server", this.backend.id(), "end", name,
				"status", this.status, "cause", this.cause, "receivedBytes", this.receivedBytes, "tookMillis",
				this.context.clock().nowMillis() - this.sentMillis, "silentMillis", silentMillis());
	}

	private void recordResult(AttemptEnd end) {
		long nowMillis = this.context.clock().nowMillis();
		boolean failed = end != AttemptEnd.ANSWERED || this.status >= SERVER_ERROR;
		if (end == AttemptEnd.REFUSED) {
			this.backend.onRejection(nowMillis);
		}
		else if (failed && this.faultOfGateway) {
			this.backend.onInconclusiveEnd();
		}
		else if (end == AttemptEnd.NOT_SENT) {
			this.backend.onUnreachable(nowMillis);
		}
		else if (failed) {
			this.backend.onFailure(nowMillis);
		}
		else {
			this.backend.onAnswer(nowMillis - this.sentMillis, nowMillis);
		}
	}

	/**
	 * How long a server may send nothing until another one is looked for.
	 *
	 * @param firstByteMillis the longest time until the response starts, in milliseconds;
	 * 0 for no limit
	 * @param idleMillis the longest pause within the response, in milliseconds; 0 for no
	 * limit
	 */
	record SilenceLimits(long firstByteMillis, long idleMillis) {

		/** The limits of an attempt that no other server may replace. */
		static final SilenceLimits NONE = new SilenceLimits(0, 0);

	}

}
