package org.snowwind.decide.silence;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServerSilenceTests {

	private final ServerSilence silence = new ServerSilence();

	@Test
	void serverWithoutWorkIsNotSilent() {
		assertThat(this.silence.exceeds(10_000, 500)).isFalse();
	}

	@Test
	void idleTimeBeforeTheWorkIsNoSilence() {
		this.silence.onHeard(100);
		this.silence.onBusy(5000);
		assertThat(this.silence.exceeds(5500, 500)).isFalse();
		assertThat(this.silence.exceeds(5501, 500)).isTrue();
	}

	@Test
	void serverThatSendsAgainIsNoLongerSilent() {
		this.silence.onBusy(0);
		assertThat(this.silence.exceeds(600, 500)).isTrue();
		this.silence.onHeard(600);
		assertThat(this.silence.exceeds(700, 500)).isFalse();
	}

	@Test
	void workThatIsSentIsNotASignOfTheServer() {
		this.silence.onBusy(0);
		assertThat(this.silence.wasHeard(10, 500)).isFalse();
		this.silence.onHeard(10);
		assertThat(this.silence.wasHeard(510, 500)).isTrue();
		assertThat(this.silence.wasHeard(511, 500)).isFalse();
	}

}
