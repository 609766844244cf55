/**
 * Records on the platform's log and their codec. A record is proposed when it is appended and valid
 * only if the fold accepts it at its offset.
 */
package org.peridotroute.journal;
