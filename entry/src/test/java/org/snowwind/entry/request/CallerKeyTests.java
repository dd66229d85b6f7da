package org.snowwind.entry.request;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that callers are known by the octets of their keys.
 */
class CallerKeyTests {

	private final EntryFixture entry = new EntryFixture();

	@AfterEach
	void close() {
		this.entry.close();
	}

	@Test
	void keyBeyondAsciiIsNotRejected() throws Exception {
		this.entry.meets(Scripts.always("", "own"));
		assertThat(this.entry.getWithKey("/a", EntryFixture.KEY_BEYOND_ASCII).status()).isEqualTo(200);
	}

	@Test
	void keyWhoseOctetsDifferIsRejected() throws Exception {
		String misread = new String(EntryFixture.KEY_BEYOND_ASCII.getBytes(StandardCharsets.UTF_8),
				StandardCharsets.ISO_8859_1);
		assertThat(this.entry.getWithKey("/a", misread).status()).isEqualTo(401);
		assertThat(this.entry.getWithKey("/a", "cl?").status()).isEqualTo(401);
	}

}
