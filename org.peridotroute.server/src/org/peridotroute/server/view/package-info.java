/** Response bodies of the resource API. */
package org.peridotroute.server.view;
