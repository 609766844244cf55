/**
 * Snapshots of the folded state: one document, compressed, cut into chunks with a checksum, so that
 * an empty VM boots from the newest whole one and the tail of the log.
 */
package org.peridotroute.snapshot;
