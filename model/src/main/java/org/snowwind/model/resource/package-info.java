/**
 * The resources that operators declare.
 */
package org.snowwind.model.resource;
