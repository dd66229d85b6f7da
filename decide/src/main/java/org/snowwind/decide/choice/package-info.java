/**
 * Which server takes a request.
 */
package org.snowwind.decide.choice;
