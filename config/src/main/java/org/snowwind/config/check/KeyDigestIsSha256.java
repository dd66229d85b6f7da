package org.snowwind.config.check;

import java.util.List;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.Resource;

/**
 * A key digest of an organisation is a SHA-256 digest in lower-case hexadecimal.
 */
@CheckSummary(value = "A key digest of an organisation is a SHA-256 digest in lower-case hexadecimal.",
		severity = Finding.Severity.ERROR)
public final class KeyDigestIsSha256 implements ResourceCheck {

	private static final int DIGITS = 64;

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof OrganisationSpec organisation)) {
			return NO_FINDINGS;
		}
		if (organisation.keyDigests().stream().allMatch(Texts.hex(DIGITS))) {
			return NO_FINDINGS;
		}
		return List.of(finding(resource).field("keyDigests")
			.because("a digest is not 64 lower-case hexadecimal digits")
			.remedy("put the key through sha256sum and give the digest, never the key"));
	}

}
