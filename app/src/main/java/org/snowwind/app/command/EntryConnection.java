package org.snowwind.app.command;

import java.util.function.Function;

import org.snowwind.operator.OperatorAnswer;
import org.snowwind.operator.OperatorClient;
import picocli.CommandLine.Option;

/**
 * How the operator's commands reach an entry.
 */
public final class EntryConnection {

	@Option(names = "--entry", paramLabel = "IP:PORT",
			description = "Operator address of any entry; default: $SNOWWIND_ENTRY, else ${DEFAULT-VALUE}.",
			defaultValue = "${env:SNOWWIND_ENTRY:-127.0.0.1:7101}")
	private String entry;

	@Option(names = "--token", description = "Operator token; default: $SNOWWIND_TOKEN.",
			defaultValue = "${env:SNOWWIND_TOKEN:-}")
	private String token;

	/**
	 * Calls the entry.
	 * @param call makes the call
	 * @param onDone prints an answer and returns the exit code
	 * @return the exit code
	 */
	int call(Function<OperatorClient, OperatorAnswer> call, Function<OperatorAnswer.Done, Integer> onDone) {
		try (OperatorClient client = new OperatorClient(this.entry, this.token)) {
			return call.apply(client).match(onDone, EntryConnection::refused, this::unreachable);
		}
	}

	private static int refused(OperatorAnswer.Refused refused) {
		System.err.println(refused.code() + ": " + refused.message() + ". " + refused.remedy());
		return switch (refused.code()) {
			case "bad-credential" -> ExitCodes.REFUSED;
			case "conflict" -> ExitCodes.CONFLICT;
			case "no-server", "platform-away", "overloaded" -> ExitCodes.UNREACHABLE;
			default -> ExitCodes.INVALID;
		};
	}

	private int unreachable(OperatorAnswer.Unreachable unreachable) {
		System.err.println("entry " + this.entry + " does not answer: " + unreachable.reason()
				+ ". Name another with --entry; a change may have been made, so look before you repeat it.");
		return ExitCodes.UNREACHABLE;
	}

}
