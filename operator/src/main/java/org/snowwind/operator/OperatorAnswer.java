package org.snowwind.operator;

import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What an entry answered an operator.
 */
public sealed interface OperatorAnswer permits OperatorAnswer.Done, OperatorAnswer.Refused, OperatorAnswer.Unreachable {

	/**
	 * Handles each case.
	 * @param <R> the type of what comes out
	 * @param onDone handles an answer
	 * @param onRefused handles a refusal
	 * @param onUnreachable handles silence
	 * @return what the handler returns
	 */
	<R> R match(Function<Done, R> onDone, Function<Refused, R> onRefused, Function<Unreachable, R> onUnreachable);

	/**
	 * The entry did what was asked.
	 *
	 * @param body its answer
	 */
	record Done(JsonNode body) implements OperatorAnswer {

		@Override
		public <R> R match(Function<Done, R> onDone, Function<Refused, R> onRefused,
				Function<Unreachable, R> onUnreachable) {
			return onDone.apply(this);
		}

	}

	/**
	 * The entry refused.
	 *
	 * @param code the problem's code
	 * @param message what is wrong
	 * @param remedy what to do
	 */
	record Refused(String code, String message, String remedy) implements OperatorAnswer {

		@Override
		public <R> R match(Function<Done, R> onDone, Function<Refused, R> onRefused,
				Function<Unreachable, R> onUnreachable) {
			return onRefused.apply(this);
		}

	}

	/**
	 * No answer came; the call may have had its effect.
	 *
	 * @param reason why
	 */
	record Unreachable(String reason) implements OperatorAnswer {

		@Override
		public <R> R match(Function<Done, R> onDone, Function<Refused, R> onRefused,
				Function<Unreachable, R> onUnreachable) {
			return onUnreachable.apply(this);
		}

	}

}
