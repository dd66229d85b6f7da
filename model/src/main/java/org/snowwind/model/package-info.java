/**
 * Time, problems and settings faults shared by every module.
 */
package org.snowwind.model;
