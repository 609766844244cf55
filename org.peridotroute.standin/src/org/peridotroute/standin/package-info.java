/**
 * In-memory stand-ins for the platform's log, directory and workers, as plain objects and behind
 * the HTTP interface of docs/PLATFORM.md, with injectable faults.
 */
package org.peridotroute.standin;
