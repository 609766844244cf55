package org.peridotroute.server.api;

/**
 * Response body of a failed request.
 *
 * @param code error code
 * @param message description of the error
 * @param effect "none" if the request certainly had no effect, else "unknown"
 * @param repeat whether the same request may succeed later; repeating it is always safe
 * @param requestId id of the request
 */
public record ErrorBody(
    ErrorCode code, String message, String effect, boolean repeat, String requestId) {}
