package org.snowwind.config.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.snowwind.config.snapshot.Finding;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.model.resource.ExpertMapSpec;
import org.snowwind.model.resource.ModelGroupSpec;
import org.snowwind.model.resource.Resource;

/**
 * An expert map places every expert of its group on ranks that exist and have room.
 */
@CheckSummary(value = "An expert map places every expert of its group on ranks that exist and have room.",
		severity = Finding.Severity.ERROR)
public final class ExpertMapPlacesEveryExpert implements ResourceCheck {

	@Override
	public List<Finding> check(Resource resource, ResourceSet all) {
		if (!(resource.spec() instanceof ExpertMapSpec map)) {
			return NO_FINDINGS;
		}
		for (ResourceSet.Named<ModelGroupSpec> group : all.allOf(ModelGroupSpec.class)) {
			boolean mine = resource.key().name().equals(group.spec().expertMap());
			if (mine && !fits(map, group.spec())) {
				return List.of(finding(resource).field("placement")
					.because("it does not place " + group.spec().experts() + " experts in each of "
							+ group.spec().layers() + " layers on " + group.spec().ranks() + " ranks with "
							+ group.spec().slotsPerRank() + " slots")
					.remedy("give every expert at least one rank, each rank at most its slots"));
			}
		}
		return NO_FINDINGS;
	}

	private static boolean fits(ExpertMapSpec map, ModelGroupSpec group) {
		boolean layers = map.placement().size() == group.layers();
		return layers && map.placement().stream().allMatch((layer) -> layerFits(layer, group));
	}

	private static boolean layerFits(List<List<Integer>> layer, ModelGroupSpec group) {
		if (layer.size() != group.experts()) {
			return false;
		}
		Map<Integer, Integer> usedSlots = new HashMap<>();
		for (List<Integer> ranks : layer) {
			boolean exist = ranks.stream().allMatch((rank) -> rank >= 0 && rank < group.ranks());
			boolean distinct = ranks.stream().distinct().count() == ranks.size();
			if (ranks.isEmpty() || !exist || !distinct) {
				return false;
			}
			ranks.forEach((rank) -> usedSlots.merge(rank, 1, Integer::sum));
		}
		return usedSlots.values().stream().allMatch((slots) -> slots <= group.slotsPerRank());
	}

}
