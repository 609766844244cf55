package org.peridotroute.server.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import io.undertow.server.RequestTooBigException;
import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.errors.NotSentException;
import org.peridotroute.http.HttpErrorMapper;
import org.peridotroute.http.HttpReply;
import org.peridotroute.http.HttpRequest;
import org.peridotroute.http.Json;
import org.peridotroute.server.service.Event;

/** Converts the exceptions of request handlers to error replies. Stateless. */
public final class ApiErrors implements HttpErrorMapper {
  private static final System.Logger LOGGER = System.getLogger(ApiErrors.class.getName());

  @Override
  public HttpReply reply(HttpRequest request, Exception failure) {
    ApiException exception = toApiException(failure);
    ErrorCode code = exception.code();
    if (code == ErrorCode.INTERNAL) {
      Event.of("request-failed")
          .with("request", request.id())
          .with("path", request.path())
          .with("reason", failure)
          .log(LOGGER, System.Logger.Level.ERROR);
    }
    ErrorBody body =
        new ErrorBody(
            code,
            exception.getMessage(),
            code.mayHaveTakenEffect() ? "unknown" : "none",
            code.isTemporary(),
            request.id());
    return new HttpReply(code.status(), Json.write(body));
  }

  private static ApiException toApiException(Exception failure) {
    if (failure instanceof ApiException api) {
      return api;
    }
    if (failure instanceof ValueInstantiationException wrapped
        && wrapped.getCause() instanceof InvalidValueException invalid) {
      return new ApiException(ErrorCode.INVALID_VALUE, invalid.getMessage());
    }
    if (failure instanceof JsonProcessingException json) {
      return new ApiException(
          ErrorCode.BAD_JSON, "the request body is not valid at " + Json.describe(json));
    }
    if (failure instanceof RequestTooBigException) {
      return new ApiException(ErrorCode.BODY_TOO_LARGE, "the request body exceeds the size limit");
    }
    if (failure instanceof InvalidValueException) {
      return new ApiException(ErrorCode.INVALID_VALUE, failure.getMessage());
    }
    if (failure instanceof NotSentException) {
      return new ApiException(ErrorCode.OVERLOADED, failure.getMessage());
    }
    return new ApiException(ErrorCode.INTERNAL, "internal error; the log has the details");
  }
}
