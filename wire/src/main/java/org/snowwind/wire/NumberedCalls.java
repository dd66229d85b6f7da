package org.snowwind.wire;

import java.util.concurrent.atomic.AtomicInteger;

import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolDecorator;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.transport.TTransport;

/**
 * The encoding on one connection, which numbers its calls and takes only the reply with
 * the number of the latest.
 *
 * <p>
 * Generated clients number all calls 0, by which a second reply to one call would pass
 * for the reply to the next. The connection carries one call at a time, and servers
 * repeat the number of the call that they reply to.
 */
final class NumberedCalls implements TProtocolFactory {

	/** What generated clients number their calls and expect in replies. */
	private static final int GENERATED_NUMBER = 0;

	private final TProtocolFactory encoding;

	private final AtomicInteger latest = new AtomicInteger(GENERATED_NUMBER);

	/**
	 * Creates the encoding of a new connection.
	 * @param maxReplyBytes the longest text or document in a reply, in bytes
	 */
	NumberedCalls(int maxReplyBytes) {
		this.encoding = new TCompactProtocol.Factory(maxReplyBytes, ControlLimits.MAX_ELEMENTS);
	}

	@Override
	public TProtocol getProtocol(TTransport transport) {
		return new Numbered(this.encoding.getProtocol(transport));
	}

	private final class Numbered extends TProtocolDecorator {

		private Numbered(TProtocol protocol) {
			super(protocol);
		}

		@Override
		public void writeMessageBegin(TMessage message) throws TException {
			int number = NumberedCalls.this.latest.incrementAndGet();
			super.writeMessageBegin(new TMessage(message.name, message.type, number));
		}

		@Override
		public TMessage readMessageBegin() throws TException {
			TMessage message = super.readMessageBegin();
			int expected = NumberedCalls.this.latest.get();
			if (message.seqid != expected) {
				throw new TApplicationException(TApplicationException.BAD_SEQUENCE_ID,
						"reply " + message.seqid + " where " + expected + " was expected");
			}
			return new TMessage(message.name, message.type, GENERATED_NUMBER);
		}

	}

}
