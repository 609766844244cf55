package org.peridotroute.server.api;

/**
 * Body of an answer to a request that failed.
 *
 * @param code what is wrong
 * @param message the same for people
 * @param effect "none" if the request certainly had no effect, else "unknown"
 * @param repeat whether the same request may succeed later; a repeat is always safe
 * @param requestId the request
 */
public record ErrorBody(
    ErrorCode code, String message, String effect, boolean repeat, String requestId) {}
