/**
 * The state of jobs: submissions, progress, and their encodings on the log. The mutable classes are
 * confined to one thread.
 */
package org.peridotroute.scheduler.table;
