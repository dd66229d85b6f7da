/**
 * Orders to ranks and to the weight store, behind narrow interfaces.
 */
package org.snowwind.agent.rank;
