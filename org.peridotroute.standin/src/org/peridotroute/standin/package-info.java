/**
 * Small stand-ins for the platform: the log, the list of machines and the workers, each as a plain
 * object and behind the HTTP interface of docs/PLATFORM.md. They can be told to fail.
 */
package org.peridotroute.standin;
