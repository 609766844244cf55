/** Exceptions of the project. Each message names the value, record, stream or worker concerned. */
package org.peridotroute.errors;
