/** Resources as callers and operators see them: the bodies of the resource API. */
package org.peridotroute.server.view;
