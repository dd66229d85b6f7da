package org.snowwind.app.load;

/**
 * One request as its caller saw it.
 *
 * @param kind what kind of request it was
 * @param organisation whose it was
 * @param tag its tag, unique in the run
 * @param outcome what the caller saw
 * @param status the HTTP status, 0 if none came
 * @param code the problem's code, empty if there was none
 * @param elapsedMillis from sending to the end, in milliseconds
 * @param late whether it ended after its budget
 */
public record CallRecord(CallKind kind, String organisation, String tag, CallOutcome outcome, int status, String code,
		long elapsedMillis, boolean late) {

}
