package org.snowwind.app.command;

import java.util.function.Function;

import org.snowwind.operator.OperatorAnswer;
import org.snowwind.operator.OperatorClient;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * How the operator's commands reach an entry and print.
 */
public final class EntryOptions {

	@Mixin
	private EntryConnection connection;

	@Option(names = "--output", description = "${COMPLETION-CANDIDATES}; default: ${DEFAULT-VALUE}.",
			defaultValue = "table")
	private Output output;

	/**
	 * Tells whether JSON is wanted.
	 * @return true if it is
	 */
	boolean json() {
		return this.output == Output.JSON;
	}

	/**
	 * Calls the entry.
	 * @param call makes the call
	 * @param onDone prints an answer and returns the exit code
	 * @return the exit code
	 */
	int call(Function<OperatorClient, OperatorAnswer> call, Function<OperatorAnswer.Done, Integer> onDone) {
		return this.connection.call(call, onDone);
	}

	/**
	 * The forms of output.
	 */
	enum Output {

		/** Columns for people. */
		TABLE,

		/** JSON for programs. */
		JSON

	}

}
