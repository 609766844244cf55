package org.peridotroute.server.view;

/**
 * A VM as another VM sees it.
 *
 * @param vm its name
 * @param incarnation the run of the process there
 * @param place its place
 * @param journalOffset offset up to which its journal is folded
 * @param configOffset offset up to which its configuration is in force
 * @param drivenGangs gangs that it drives
 * @param openJobs jobs that it knows of and that have not ended
 * @param ready whether it takes part
 * @param leaving whether it is about to stop
 * @param suspect whether it was silent for too long
 * @param heardMillisAgo how old this is; 0 for the VM that answers
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
