package org.peridotroute.server.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import io.undertow.server.RequestTooBigException;
import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.errors.NotSentException;
import org.peridotroute.http.HttpErrors;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.HttpRequest;
import org.peridotroute.http.Json;
import org.peridotroute.server.service.Event;

/** Turns what a handler threw into a typed answer. Stateless. */
public final class ApiErrors implements HttpErrors {
  private static final System.Logger LOGGER = System.getLogger(ApiErrors.class.getName());

  @Override
  public HttpReply reply(HttpRequest request, Exception fault) {
    ApiException typed = typed(fault);
    ErrorCode code = typed.code();
    if (code == ErrorCode.INTERNAL) {
      Event.of("request-failed")
          .with("request", request.id())
          .with("path", request.path())
          .with("reason", fault)
          .log(LOGGER, System.Logger.Level.ERROR);
    }
    ErrorBody body =
        new ErrorBody(
            code,
            typed.getMessage(),
            code.mayHaveTakenEffect() ? "unknown" : "none",
            code.isTemporary(),
            request.id());
    return new HttpReply(code.status(), Json.write(body));
  }

  private static ApiException typed(Exception fault) {
    if (fault instanceof ApiException api) {
      return api;
    }
    if (fault instanceof ValueInstantiationException wrapped
        && wrapped.getCause() instanceof InvalidValueException invalid) {
      return new ApiException(ErrorCode.INVALID_VALUE, invalid.getMessage());
    }
    if (fault instanceof JsonProcessingException json) {
      return new ApiException(
          ErrorCode.BAD_JSON, "the body is not valid at " + Json.describe(json));
    }
    if (fault instanceof RequestTooBigException) {
      return new ApiException(ErrorCode.BODY_TOO_LARGE, "the body is over the limit");
    }
    if (fault instanceof InvalidValueException) {
      return new ApiException(ErrorCode.INVALID_VALUE, fault.getMessage());
    }
    if (fault instanceof NotSentException) {
      return new ApiException(ErrorCode.OVERLOADED, fault.getMessage());
    }
    return new ApiException(ErrorCode.INTERNAL, "a fault of the process; the log has it");
  }
}
