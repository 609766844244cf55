/**
 * The platform as this system meets it: an append-only log with offsets and a list of live and
 * leaving machines. Interfaces and the values that travel; docs/PLATFORM.md describes the HTTP
 * side.
 */
package org.peridotroute.platform;
