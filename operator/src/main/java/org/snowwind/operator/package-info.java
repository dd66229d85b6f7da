/**
 * The client side of the resource API.
 */
package org.snowwind.operator;
