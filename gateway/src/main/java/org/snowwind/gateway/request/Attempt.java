package org.snowwind.gateway.request;

import java.util.List;
import java.util.Map;

import io.netty.util.concurrent.Future;
import org.snowwind.decide.outcome.AttemptEnd;
import org.snowwind.gateway.backend.Backend;
import org.snowwind.gateway.backend.BackendNotices;
import org.snowwind.gateway.table.Repeat;
import org.snowwind.http.client.UpstreamCall;
import org.snowwind.http.client.UpstreamListener;
import org.snowwind.http.client.UpstreamRequest;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * One attempt of a request at one server. Confined to the loop.
 */
final class Attempt implements UpstreamListener {

	private static final int SERVER_ERROR = 500;

	private final RequestContext context;

	private final CallerRequest request;

	private final Backend backend;

	private final String afterId;

	private final AttemptListener listener;

	private final long sentMillis;

	private UpstreamCall call;

	private Future<?> timer;

	private int status;

	private long receivedBytes;

	private AnswerBuffer answer;

	private final EventTimes eventTimes;

	private String cause = "";

	/** Whether we have ended it, so that its connection tells nothing of its server. */
	private boolean givenUp;

	private boolean over;

	private boolean streaming;

	private long silenceMillis;

	/**
	 * Creates an attempt that is not sent yet.
	 * @param context what requests work with
	 * @param request the request
	 * @param backend the server
	 * @param afterId the event after which a stream is continued, {@code null} to begin
	 * @param listener is told how it fares
	 */
	Attempt(RequestContext context, CallerRequest request, Backend backend, String afterId, AttemptListener listener) {
		this.context = context;
		this.request = request;
		this.backend = backend;
		this.afterId = afterId;
		this.listener = listener;
		this.sentMillis = context.clock().nowMillis();
		this.eventTimes = new EventTimes(this.sentMillis);
	}

	/**
	 * Sends the attempt.
	 * @param remainingMillis what is left of the request's time, in milliseconds
	 * @param patience how long the server may be silent
	 */
	void send(long remainingMillis, Patience patience) {
		this.backend.sent(this.sentMillis);
		this.silenceMillis = patience.pauseMillis();
		this.timer = this.context.loop().later(() -> giveUp("no answer"), patience.firstByteMillis());
		AttemptHead head = new AttemptHead(this.backend.id(), remainingMillis, this.request.organisation(),
				this.afterId, this.request.host());
		Map<String, String> headers = this.context.dialect().toBackend(this.request.headers(), head);
		String url = "http://" + this.backend.entry().address() + this.request.target();
		this.call = this.context.client()
			.send(new UpstreamRequest(this.request.method(), url, headers, this.request.body()), this);
	}

	Backend backend() {
		return this.backend;
	}

	/**
	 * Tells whether it has ended.
	 * @return true once nothing more comes of it
	 */
	boolean over() {
		return this.over;
	}

	/**
	 * Tells whether its connection ended without our doing.
	 * @return false if we gave it up
	 */
	boolean lostConnection() {
		return !this.givenUp;
	}

	/**
	 * Tells why the attempt ended without an answer.
	 * @return one line, empty if there is nothing to tell
	 */
	String cause() {
		return this.cause;
	}

	long sentMillis() {
		return this.sentMillis;
	}

	/**
	 * Returns what has arrived of the answer.
	 * @return the answer, {@code null} before a credible one begins
	 */
	AnswerBuffer answer() {
		return this.answer;
	}

	/**
	 * Returns when this server's events came. A pause that began with another server's
	 * event does not count among them.
	 * @return the times
	 */
	EventTimes eventTimes() {
		return this.eventTimes;
	}

	/**
	 * Takes or stops taking bytes from the server.
	 * @param reading whether to take them
	 */
	void reading(boolean reading) {
		if (!this.over && this.call != null) {
			this.call.reading(reading);
			restartTimer(reading);
		}
	}

	/**
	 * Ends the attempt without a word to its listener, which ends the server's work.
	 */
	void abandon() {
		if (!this.over) {
			this.cause = "abandoned";
			close(null);
			this.backend.withdrawn();
			cancelCall();
		}
	}

	private void cancelCall() {
		if (this.call != null) {
			this.call.cancel();
		}
	}

	@Override
	public void onHead(int answerStatus, Map<String, String> headers) {
		if (this.over) {
			return;
		}
		this.status = answerStatus;
		this.context.suspects().heard(this.backend.entry().run());
		AnswerHead head = this.context.dialect().readAnswer(answerStatus, headers);
		recordNotice(head);
		if (head.refused()) {
			if (head.elsewhere()) {
				this.backend.replaced();
			}
			cancelCall();
			finish(AttemptEnd.REFUSED);
			return;
		}
		if (!head.credible(answerStatus, this.request.id())) {
			giveUp("not a server's answer to this request");
			return;
		}
		if (this.request.route().repeat() == Repeat.STREAM) {
			this.streaming = true;
			this.backend.streamBegan(this.context.clock().nowMillis());
		}
		restartTimer(true);
		this.answer = bufferFor(answerStatus, headers);
		this.listener.answerBegins(this.answer);
	}

	// Another server at the address, or a response to another request, says nothing of
	// this server now.
	private void recordNotice(AnswerHead head) {
		if (!head.elsewhere() && !head.toAnotherThan(this.request.id())) {
			this.context.backends()
				.onResponseHead(this.backend, head.notice(),
						new BackendNotices.Source(this.request.id(), head.signed(), this.sentMillis));
		}
	}

	private AnswerBuffer bufferFor(int answerStatus, Map<String, String> headers) {
		boolean stream = this.request.route().repeat() == Repeat.STREAM && answerStatus == AnswerBuffer.OK;
		return stream ? AnswerBuffer.stream(headers, this.afterId) : AnswerBuffer.plain(answerStatus, headers);
	}

	@Override
	public void onBytes(byte[] bytes) {
		if (this.over) {
			return;
		}
		restartTimer(true);
		this.context.suspects().heard(this.backend.entry().run());
		this.receivedBytes += bytes.length;
		List<StreamEvent> events = this.answer.take(bytes);
		if (!events.isEmpty()) {
			this.listener.eventsArrived(events);
		}
		if (this.answer.overrun()) {
			giveUp("another answer within the stream");
		}
	}

	@Override
	public void onEnd() {
		finish(AttemptEnd.ANSWERED);
	}

	@Override
	public void onFailure(boolean maybeSent, Throwable thrown) {
		this.cause = String.valueOf(thrown.getMessage());
		if (!maybeSent) {
			finish(AttemptEnd.NOT_SENT);
			return;
		}
		finish((this.status != 0) ? AttemptEnd.BEGAN_THEN_BROKE : AttemptEnd.LOST_FOR_GOOD);
	}

	/**
	 * Gives the attempt up.
	 * @param why for the log
	 */
	void giveUp(String why) {
		if (!this.over) {
			this.cause = why;
			this.givenUp = true;
			cancelCall();
			finish((this.status != 0) ? AttemptEnd.BEGAN_THEN_BROKE : AttemptEnd.LOST_FOR_GOOD);
		}
	}

	private void restartTimer(boolean running) {
		if (this.over || this.silenceMillis <= 0) {
			return;
		}
		this.timer.cancel(false);
		if (running) {
			this.timer = this.context.loop().later(() -> giveUp("silent"), this.silenceMillis);
		}
	}

	private void finish(AttemptEnd end) {
		if (this.over) {
			return;
		}
		close(end);
		judge(end);
		this.listener.attemptEnded(end);
	}

	private void close(AttemptEnd end) {
		this.over = true;
		this.timer.cancel(false);
		if (this.streaming) {
			this.backend.streamEnded();
		}
		String name = (end != null) ? end.name() : "ABANDONED";
		this.context.meters().attempt(this.request.service(), name);
		EventLog.log(Event.ATTEMPT_ENDED, "request", this.request.id(), "server", this.backend.id(), "end", name,
				"status", this.status, "cause", this.cause, "receivedBytes", this.receivedBytes, "tookMillis",
				this.context.clock().nowMillis() - this.sentMillis);
	}

	private void judge(AttemptEnd end) {
		long nowMillis = this.context.clock().nowMillis();
		boolean failure = end != AttemptEnd.ANSWERED || this.status >= SERVER_ERROR;
		if (end == AttemptEnd.REFUSED) {
			this.backend.refused(nowMillis);
		}
		else if (end == AttemptEnd.NOT_SENT) {
			this.backend.unreachable(nowMillis);
		}
		else if (failure) {
			this.backend.failed(nowMillis);
		}
		else {
			this.backend.answered(nowMillis - this.sentMillis, nowMillis);
		}
	}

	/**
	 * How long a server may be silent.
	 *
	 * @param firstByteMillis until its answer begins, in milliseconds
	 * @param pauseMillis between parts of its answer, in milliseconds; 0 for any time
	 */
	record Patience(long firstByteMillis, long pauseMillis) {

	}

}
