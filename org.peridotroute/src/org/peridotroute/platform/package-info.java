/**
 * Client interfaces and wire formats of the platform: an append-only log with offsets, and a list
 * of live and leaving VMs and workers. docs/PLATFORM.md describes the HTTP API.
 */
package org.peridotroute.platform;
