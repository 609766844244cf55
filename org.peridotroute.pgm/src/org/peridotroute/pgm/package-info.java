/** Command line interfaces of the two programs, with one class for each command. */
package org.peridotroute.pgm;
