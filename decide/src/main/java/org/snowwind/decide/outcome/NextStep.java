package org.snowwind.decide.outcome;

import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

/**
 * What to do next with a request.
 */
public sealed interface NextStep permits NextStep.Send, NextStep.Resume, NextStep.Revoke, NextStep.Finish {

	/** The rule has nothing to say. */
	NextStep NO_OPINION = new Finish(null, null);

	/** Makes another attempt from the start. */
	NextStep SEND = new Send();

	/** Makes another attempt that continues the answer. */
	NextStep RESUME = new Resume();

	/** Asks the agent whether the attempt began, and keeps it from beginning. */
	NextStep REVOKE = new Revoke();

	/**
	 * Ends the request.
	 * @param disclosure what the caller is told about its having run
	 * @param problem the kind of problem, {@code null} if it was answered
	 * @return the step
	 */
	static NextStep finish(Disclosure disclosure, ProblemKind problem) {
		return new Finish(disclosure, problem);
	}

	/**
	 * Handles each case.
	 * @param cases what to do in each
	 */
	void perform(Cases cases);

	/**
	 * A handler of every case, so that a new case fails the compiler.
	 */
	interface Cases {

		/** Makes another attempt from the start. */
		void send();

		/** Makes another attempt that continues the answer. */
		void resume();

		/** Asks the agent whether the attempt began. */
		void revoke();

		/**
		 * Ends the request.
		 * @param disclosure what the caller is told about its having run
		 * @param problem the kind of problem, {@code null} if it was answered
		 */
		void finish(Disclosure disclosure, ProblemKind problem);

	}

	/**
	 * Another attempt from the start.
	 */
	record Send() implements NextStep {

		@Override
		public void perform(Cases cases) {
			cases.send();
		}

	}

	/**
	 * Another attempt that continues the answer.
	 */
	record Resume() implements NextStep {

		@Override
		public void perform(Cases cases) {
			cases.resume();
		}

	}

	/**
	 * A question to the agent.
	 */
	record Revoke() implements NextStep {

		@Override
		public void perform(Cases cases) {
			cases.revoke();
		}

	}

	/**
	 * The end of the request.
	 *
	 * @param disclosure what the caller is told about its having run
	 * @param problem the kind of problem, {@code null} if it was answered
	 */
	record Finish(Disclosure disclosure, ProblemKind problem) implements NextStep {

		@Override
		public void perform(Cases cases) {
			cases.finish(this.disclosure, this.problem);
		}

	}

}
