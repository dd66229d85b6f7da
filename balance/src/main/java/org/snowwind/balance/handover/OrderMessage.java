package org.snowwind.balance.handover;

/**
 * An order as it goes over the wire.
 *
 * @param type what is ordered
 * @param ballot the owner's ballot
 * @param generation the map of a bind, else 0
 * @param step the step of a bind, else 0
 * @param boundBallot the ballot that a confirm confirms, else 0
 */
public record OrderMessage(Type type, long ballot, long generation, long step, long boundBallot) {

	/**
	 * Makes the message of an order.
	 * @param order the order
	 * @return the message
	 */
	public static OrderMessage of(RankOrder order) {
		if (order instanceof RankOrder.Bind bind) {
			return new OrderMessage(Type.BIND, bind.ballot(), bind.generation(), bind.step(), 0);
		}
		if (order instanceof RankOrder.Confirm confirm) {
			return new OrderMessage(Type.CONFIRM, confirm.ballot(), 0, 0, confirm.boundBallot());
		}
		Type type = (order instanceof RankOrder.Abort) ? Type.ABORT : Type.ASK;
		return new OrderMessage(type, order.ballot(), 0, 0, 0);
	}

	/**
	 * Makes the order of this message.
	 * @return the order
	 */
	public RankOrder toOrder() {
		return switch (this.type) {
			case ASK -> new RankOrder.Ask(this.ballot);
			case BIND -> new RankOrder.Bind(this.ballot, this.generation, this.step);
			case CONFIRM -> new RankOrder.Confirm(this.ballot, this.boundBallot);
			case ABORT -> new RankOrder.Abort(this.ballot);
		};
	}

	/**
	 * What is ordered.
	 */
	public enum Type {

		/** {@link RankOrder.Ask}. */
		ASK,

		/** {@link RankOrder.Bind}. */
		BIND,

		/** {@link RankOrder.Confirm}. */
		CONFIRM,

		/** {@link RankOrder.Abort}. */
		ABORT

	}

}
