/**
 * The conduct of workers and their speed: which workers get no work, or little, because of what
 * they did, and how much longer tasks take on each. Without input or output; the clock is passed
 * in.
 */
package org.peridotroute.scheduler.conduct;
