package org.peridotroute.server.view;

/**
 * Last known status of a VM.
 *
 * @param vm name of the VM
 * @param incarnation identifies the run of the process on the VM
 * @param place place of the VM
 * @param journalOffset offset of the last journal record that the VM has applied
 * @param configOffset offset of the last configuration record that the VM has applied
 * @param drivenGangs number of gangs that the VM drives
 * @param openJobs number of jobs known to the VM that have not ended
 * @param ready whether the VM is ready to serve requests
 * @param leaving whether the VM is about to stop
 * @param suspect whether the VM is suspected, because no status has arrived within the timeout
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
