package org.peridotroute.server.view;

/**
 * The complete answer of a job.
 *
 * @param body the text of the answer
 * @param bytes length of the text in UTF-8 bytes
 * @param sha256 SHA-256 digest of the text
 */
public record AnswerView(String body, int bytes, String sha256) {}
