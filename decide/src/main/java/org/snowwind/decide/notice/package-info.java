/**
 * What backend servers announce about the near future in the heads of their responses.
 */
package org.snowwind.decide.notice;
