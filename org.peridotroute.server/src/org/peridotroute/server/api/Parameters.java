package org.peridotroute.server.api;

import org.peridotroute.errors.InvalidValueException;
import org.peridotroute.http.HttpRequest;
import org.peridotroute.lib.Checks;
import org.peridotroute.lib.JobKey;
import org.peridotroute.lib.JobName;
import org.peridotroute.lib.OrganisationId;

/**
 * Reads typed parameters of a request. Each method throws {@link InvalidValueException} if the
 * value is missing or invalid.
 */
final class Parameters {
  private Parameters() {}

  static OrganisationId organisation(HttpRequest request) {
    return new OrganisationId(request.parameter("organisation"));
  }

  static JobKey job(HttpRequest request) {
    return new JobKey(organisation(request), new JobName(request.parameter("job")));
  }

  /** Returns a number from 0 to max, or the default if the parameter is absent. */
  static long number(HttpRequest request, String name, long defaultValue, long max) {
    String text = request.parameter(name);
    if (text == null) {
      return defaultValue;
    }
    if (!text.matches("\\d{1,18}")) {
      throw InvalidValueException.name("number " + name, text);
    }
    return Checks.range(name, Long.parseLong(text), 0, max);
  }
}
