/**
 * Deterministic in-memory simulation of a scheduler cluster on virtual time: the VMs, a keyed log,
 * workers and the network between them, with injectable faults. Single-threaded and repeatable by
 * seed.
 */
package org.peridotroute.standin.world;
