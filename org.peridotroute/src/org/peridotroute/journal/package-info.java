/**
 * Records on the platform's log and their codec. An appended record is only a proposal; it takes
 * effect if the fold accepts it at its offset.
 */
package org.peridotroute.journal;
