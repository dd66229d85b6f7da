package org.snowwind.decide.outcome;

import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

/**
 * The next step of a request after an attempt has ended.
 */
public sealed interface NextStep permits NextStep.Send, NextStep.Resume, NextStep.Revoke, NextStep.Finish {

	/** Returned by a rule that does not apply. */
	NextStep NOT_APPLICABLE = new Finish(null, null);

	/** Sends another attempt that starts the work from the beginning. */
	NextStep SEND = new Send();

	/** Sends another attempt that resumes the answer at its current offset. */
	NextStep RESUME = new Resume();

	/** Revokes the attempt at the agent, which reports whether it had already begun. */
	NextStep REVOKE = new Revoke();

	/**
	 * Creates the step that ends the request.
	 * @param disclosure what the caller is told about whether the request ran
	 * @param problem the kind of problem, {@code null} if the request was answered
	 * @return the step
	 */
	static NextStep finish(Disclosure disclosure, ProblemKind problem) {
		return new Finish(disclosure, problem);
	}

	/**
	 * Calls the method of the visitor that matches this step.
	 * @param visitor handles the step
	 */
	void accept(Visitor visitor);

	/**
	 * Visitor with one method for each step, so that a new step breaks compilation until
	 * every visitor handles it.
	 */
	interface Visitor {

		/** Sends another attempt that starts the work from the beginning. */
		void send();

		/** Sends another attempt that resumes the answer at its current offset. */
		void resume();

		/** Revokes the attempt at the agent. */
		void revoke();

		/**
		 * Ends the request.
		 * @param disclosure what the caller is told about whether the request ran
		 * @param problem the kind of problem, {@code null} if the request was answered
		 */
		void finish(Disclosure disclosure, ProblemKind problem);

	}

	/**
	 * Sends another attempt that starts the work from the beginning.
	 */
	record Send() implements NextStep {

		@Override
		public void accept(Visitor visitor) {
			visitor.send();
		}

	}

	/**
	 * Sends another attempt that resumes the answer at its current offset.
	 */
	record Resume() implements NextStep {

		@Override
		public void accept(Visitor visitor) {
			visitor.resume();
		}

	}

	/**
	 * Revokes the attempt at the agent, which reports whether it had already begun.
	 */
	record Revoke() implements NextStep {

		@Override
		public void accept(Visitor visitor) {
			visitor.revoke();
		}

	}

	/**
	 * Ends the request.
	 *
	 * @param disclosure what the caller is told about whether the request ran
	 * @param problem the kind of problem, {@code null} if the request was answered
	 */
	record Finish(Disclosure disclosure, ProblemKind problem) implements NextStep {

		@Override
		public void accept(Visitor visitor) {
			visitor.finish(this.disclosure, this.problem);
		}

	}

}
