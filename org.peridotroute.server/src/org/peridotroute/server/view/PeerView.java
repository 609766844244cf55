package org.peridotroute.server.view;

/**
 * Last known status of a VM.
 *
 * @param vm name of the VM
 * @param incarnation id of the process run on the VM
 * @param place place of the VM
 * @param journalOffset offset up to which the VM has folded the journal
 * @param configOffset offset up to which the VM has applied the configuration
 * @param drivenGangs number of gangs that the VM drives
 * @param openJobs number of jobs known to the VM that have not ended
 * @param ready whether the VM is ready to serve requests
 * @param leaving whether the VM is about to stop
 * @param suspect whether no status has arrived for too long
 * @param heardMillisAgo age of the status in milliseconds; 0 for the VM that responds
 */
public record PeerView(
    String vm,
    String incarnation,
    String place,
    long journalOffset,
    long configOffset,
    int drivenGangs,
    int openJobs,
    boolean ready,
    boolean leaving,
    boolean suspect,
    long heardMillisAgo) {}
