/**
 * Snapshots of the folded state, stored as a compressed document that is split into chunks with a
 * checksum. A VM without state boots from the newest complete snapshot and the records after it.
 */
package org.peridotroute.snapshot;
