package org.snowwind.balance.handover;

/**
 * Wire representation of an order.
 *
 * @param type the type of the order
 * @param ballot the ballot of the owner
 * @param generation the generation of the map of a bind, otherwise 0
 * @param step the step of a bind, otherwise 0
 * @param boundBallot the ballot of the bind that a confirm refers to, otherwise 0
 */
public record OrderMessage(Type type, long ballot, long generation, long step, long boundBallot) {

	/**
	 * Creates the message for an order.
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
	 * Returns the order that this message represents.
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
	 * Type of an order.
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
