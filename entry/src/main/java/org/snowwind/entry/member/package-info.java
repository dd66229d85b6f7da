/**
 * Which servers and entries live, and how they fare.
 */
package org.snowwind.entry.member;
