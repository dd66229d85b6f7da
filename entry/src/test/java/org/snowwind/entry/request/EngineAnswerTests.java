package org.snowwind.entry.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EngineAnswerTests {

	private static final String ANSWER = "{\"index\":0}\n{\"index\":1}\n{\"done\":true,\"tokens\":2}\n";

	private final EngineAnswer answer = new EngineAnswer(0);

	private String take(String text) {
		return new String(this.answer.take(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
	}

	@Test
	void onlyWholeLinesGoOut() {
		assertThat(take("{\"index\":0}\n{\"in")).isEqualTo("{\"index\":0}\n");
		assertThat(take("dex\":1}")).isEmpty();
		assertThat(take("\n")).isEqualTo("{\"index\":1}\n");
	}

	@Test
	void aBrokenLineIsAskedForAgainAndDoesNotReachTheNextAttempt() {
		take("{\"index\":0}\n{\"in");
		assertThat(this.answer.tornBytes()).isEqualTo(4);
		assertThat(this.answer.resumeAt()).isEqualTo(1);
		EngineAnswer next = new EngineAnswer(this.answer.resumeAt());
		byte[] line = "{\"index\":1}\n".getBytes(StandardCharsets.UTF_8);
		assertThat(next.take(line)).isEqualTo(line);
		assertThat(next.resumeAt()).isEqualTo(2);
	}

	@Test
	void anAnswerWithoutItsLastLineIsNotWhole() {
		take("{\"index\":0}\n");
		assertThat(this.answer.wholeAtEnd()).isFalse();
		take("{\"done\":true,\"tokens\":1}\n");
		assertThat(this.answer.complete()).isTrue();
	}

	@Property(seed = "20261202")
	void howeverItIsCutTheSameBytesGoOut(@ForAll List<@IntRange(min = 1, max = 9) Integer> cuts) {
		EngineAnswer subject = new EngineAnswer(0);
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		byte[] bytes = ANSWER.getBytes(StandardCharsets.UTF_8);
		int from = 0;
		for (int cut : cuts) {
			int to = Math.min(bytes.length, from + cut);
			out.writeBytes(subject.take(java.util.Arrays.copyOfRange(bytes, from, to)));
			from = to;
		}
		out.writeBytes(subject.take(java.util.Arrays.copyOfRange(bytes, from, bytes.length)));
		assertThat(out.toString(StandardCharsets.UTF_8)).isEqualTo(ANSWER);
		assertThat(subject.complete()).isTrue();
	}

}
