/** The command lines of the two binaries, one class for each command. */
package org.peridotroute.pgm;
