package org.snowwind.model.resource;

import java.util.List;

/**
 * How requests for one target are routed.
 *
 * @param target the name of the service or model group
 * @param budgetMillis the time a request may take when its caller names none
 * @param maxAttempts how many attempts a repeatable request may have
 * @param choice how a server is chosen
 * @param routes rules that mark requests; the first that matches holds
 * @param skewWeight what one unit of step-time skew costs, for the expert map
 * @param moveWeight what one moved gigabyte costs, for the expert map
 */
public record RoutingPolicySpec(String target, long budgetMillis, int maxAttempts, Choice choice, List<Route> routes,
		double skewWeight, double moveWeight) implements ResourceSpec {

	private static final long DEFAULT_BUDGET_MILLIS = 30_000;

	private static final int DEFAULT_ATTEMPTS = 3;

	/**
	 * Fills absent fields with their defaults.
	 */
	public RoutingPolicySpec {
		budgetMillis = (budgetMillis != 0) ? budgetMillis : DEFAULT_BUDGET_MILLIS;
		maxAttempts = (maxAttempts != 0) ? maxAttempts : DEFAULT_ATTEMPTS;
		choice = (choice != null) ? choice : Choice.TWO_CHOICES;
		routes = (routes != null) ? List.copyOf(routes) : List.of();
		skewWeight = (skewWeight != 0) ? skewWeight : 1;
		moveWeight = (moveWeight != 0) ? moveWeight : 1;
	}

	/**
	 * Returns the policy of a target for which none is declared.
	 * @param target the target's name
	 * @return a policy of defaults
	 */
	public static RoutingPolicySpec defaults(String target) {
		return new RoutingPolicySpec(target, 0, 0, null, null, 0, 0);
	}

	/**
	 * The ways of choosing a server.
	 */
	public enum Choice {

		/** The less loaded of two random servers. */
		TWO_CHOICES,

		/**
		 * The server that has probably cached the prompt's prefix, within a load bound.
		 */
		PREFIX_AFFINITY,

		/** Each in turn; the plain baseline. */
		ROUND_ROBIN

	}

	/**
	 * Marks the requests of a method below a path.
	 *
	 * @param method the HTTP method, {@code null} for any
	 * @param pathPrefix the start of the path behind the service's name
	 * @param repeatable whether such a request may run more than once
	 * @param callerMayLoosen whether a caller may mark it repeatable by header
	 */
	public record Route(String method, String pathPrefix, boolean repeatable, boolean callerMayLoosen) {

		/**
		 * Tells whether this rule is for a request.
		 * @param requestMethod the request's method
		 * @param requestPath the request's path behind the service's name
		 * @return true if it is
		 */
		public boolean matches(String requestMethod, String requestPath) {
			boolean methodFits = this.method == null || this.method.equalsIgnoreCase(requestMethod);
			return methodFits && (this.pathPrefix == null || requestPath.startsWith(this.pathPrefix));
		}

	}

}
