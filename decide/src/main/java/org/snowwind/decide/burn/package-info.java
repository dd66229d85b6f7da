/**
 * How fast a service-level budget is used up.
 */
package org.snowwind.decide.burn;
