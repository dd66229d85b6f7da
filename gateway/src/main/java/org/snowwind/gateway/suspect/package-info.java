/**
 * Requests under which servers ended: who saw it, who is to blame, and who must know.
 */
package org.snowwind.gateway.suspect;
