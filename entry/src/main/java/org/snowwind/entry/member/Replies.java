package org.snowwind.entry.member;

import java.util.function.Consumer;

import org.snowwind.wire.Reply;

/**
 * Replies to regular calls, whose failure is noticed by the silence that follows.
 */
final class Replies {

	private Replies() {
	}

	static <T> Reply<T> onAnswer(Consumer<T> then) {
		return new Reply<>() {
			@Override
			public void received(T answer) {
				then.accept(answer);
			}

			@Override
			public void failed(Exception cause) {
				// Silence is noticed by its length, so a failed heartbeat needs no note.
			}
		};
	}

}
