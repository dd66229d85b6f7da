package org.snowwind.http.client.syntax;

import io.netty.buffer.ByteBuf;

/**
 * Follows the bytes of the responses on a connection and checks their grammar. Content is
 * skipped. Confined to one thread.
 */
final class ResponseScanner {

	private static final String HEAD = "HEAD";

	private static final int FIRST_FINAL_STATUS = 200;

	private static final int SWITCHING_PROTOCOLS = 101;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private final LineBuffer line = new LineBuffer();

	private Phase phase = Phase.STATUS_LINE;

	private String method = "";

	private StatusLine statusLine;

	private FramingFields framing = new FramingFields();

	private boolean hasFields;

	private long contentLeftBytes;

	private int acceptedIndex;

	/**
	 * Expects the response to a request.
	 * @param requestMethod the method of the request
	 */
	void expectResponse(String requestMethod) {
		this.method = requestMethod;
		if (this.phase == Phase.COMPLETE) {
			this.phase = Phase.STATUS_LINE;
		}
	}

	/**
	 * Reads bytes.
	 * @param in the received bytes
	 * @throws MalformedResponseException if they are not valid, or if there are more than
	 * the response has
	 */
	void scan(ByteBuf in) throws MalformedResponseException {
		this.acceptedIndex = in.readerIndex();
		while (in.isReadable()) {
			switch (this.phase) {
				case CONTENT, CHUNK_CONTENT -> skipContent(in);
				case UNTIL_CLOSE -> in.skipBytes(in.readableBytes());
				case COMPLETE -> readSurplus(in);
				default -> readLine(in);
			}
		}
	}

	/**
	 * Returns up to which index the bytes of the last scan are valid.
	 * @return the index, exclusive
	 */
	int acceptedIndex() {
		return this.acceptedIndex;
	}

	private void skipContent(ByteBuf in) {
		int skippedBytes = (int) Math.min(this.contentLeftBytes, in.readableBytes());
		in.skipBytes(skippedBytes);
		this.contentLeftBytes -= skippedBytes;
		if (this.contentLeftBytes == 0) {
			this.phase = (this.phase == Phase.CONTENT) ? Phase.COMPLETE : Phase.CHUNK_END;
		}
		this.acceptedIndex = in.readerIndex();
	}

	// Some servers send an empty line after the content.
	private static void readSurplus(ByteBuf in) throws MalformedResponseException {
		byte next = in.readByte();
		if (next != '\r' && next != '\n') {
			throw new MalformedResponseException(ResponseFault.SURPLUS_BYTES, "expected nothing after the response");
		}
	}

	private void readLine(ByteBuf in) throws MalformedResponseException {
		if (this.line.read(in)) {
			this.phase = nextPhase();
			this.line.clear();
			this.acceptedIndex = in.readerIndex();
		}
	}

	private Phase nextPhase() throws MalformedResponseException {
		return switch (this.phase) {
			case STATUS_LINE -> afterStatusLine();
			case FIELDS -> (this.line.length() == 0) ? afterHead() : afterField();
			case CHUNK_SIZE -> afterChunkSize();
			case CHUNK_END -> afterChunk();
			default -> (this.line.length() == 0) ? Phase.COMPLETE : afterField();
		};
	}

	// Empty lines before a response are ignored, as servers ignore them before requests.
	private Phase afterStatusLine() throws MalformedResponseException {
		if (this.line.length() == 0) {
			return Phase.STATUS_LINE;
		}
		this.statusLine = StatusLine.parse(this.line);
		this.framing = new FramingFields();
		this.hasFields = false;
		return Phase.FIELDS;
	}

	private Phase afterField() throws MalformedResponseException {
		if (!FieldLine.isFolded(this.line)) {
			this.framing.add(this.line, FieldLine.check(this.line));
		}
		else if (this.hasFields) {
			FieldLine.checkValue(this.line, 0);
			this.framing.addFolded();
		}
		else {
			throw new MalformedResponseException(ResponseFault.LEADING_WHITE_SPACE,
					"expected no white space before the first field");
		}
		this.hasFields = true;
		return this.phase;
	}

	private Phase afterHead() throws MalformedResponseException {
		int status = this.statusLine.status();
		if (status == SWITCHING_PROTOCOLS) {
			return Phase.UNTIL_CLOSE;
		}
		if (status < FIRST_FINAL_STATUS) {
			return Phase.STATUS_LINE;
		}
		if (HEAD.equals(this.method) || status == NO_CONTENT || status == NOT_MODIFIED) {
			return Phase.COMPLETE;
		}
		long contentBytes = this.framing.contentBytes(this.statusLine.minorVersion());
		if (contentBytes == FramingFields.CHUNKED) {
			return Phase.CHUNK_SIZE;
		}
		if (contentBytes == FramingFields.UNTIL_CLOSE) {
			return Phase.UNTIL_CLOSE;
		}
		this.contentLeftBytes = contentBytes;
		return (contentBytes == 0) ? Phase.COMPLETE : Phase.CONTENT;
	}

	private Phase afterChunkSize() throws MalformedResponseException {
		this.contentLeftBytes = ChunkSizeLine.parse(this.line);
		if (this.contentLeftBytes > 0) {
			return Phase.CHUNK_CONTENT;
		}
		this.hasFields = false;
		return Phase.TRAILERS;
	}

	private Phase afterChunk() throws MalformedResponseException {
		if (this.line.length() > 0) {
			throw new MalformedResponseException(ResponseFault.CHUNK_END, "expected the end of a chunk after its size");
		}
		return Phase.CHUNK_SIZE;
	}

	private enum Phase {

		STATUS_LINE, FIELDS, CONTENT, CHUNK_SIZE, CHUNK_CONTENT, CHUNK_END, TRAILERS, UNTIL_CLOSE, COMPLETE

	}

}
