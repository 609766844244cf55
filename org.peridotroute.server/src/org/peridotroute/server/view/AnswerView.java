package org.peridotroute.server.view;

/**
 * A job's whole answer.
 *
 * @param body the text
 * @param bytes its length in UTF-8
 * @param sha256 its digest
 */
public record AnswerView(String body, int bytes, String sha256) {}
