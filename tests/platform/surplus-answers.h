/*
 * surplus-answers.h: whole answers of a worker that do not belong to the request that waits on the
 * connection.
 */
#pragma once

#include <glib.h>

#define OTHER_REQUEST "Request-Id: of-another\r\n"
#define EMPTY_BODY "Content-Length: 0\r\n\r\n"

/* Answers to another request.  The worker's own answer follows each of them. */
static const char *const other_answers[] = {
  "HTTP/1.1 200 OK\r\n" OTHER_REQUEST "Server-Stamp: stamp-other\r\nContent-Length: 5\r\n\r\nother",
  "HTTP/1.1 200 OK\r\n" OTHER_REQUEST "Server-Stamp: stamp-other\r\nWeight-Versions: 1\r\n"
  "Transfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: other\n\n\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\r\n" OTHER_REQUEST "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n"
  "id: 2\ndata: after the last chunk\n\n",
  "HTTP/1.1 202 Accepted\r\n" OTHER_REQUEST EMPTY_BODY,
  "HTTP/1.1 409 Conflict\r\n" OTHER_REQUEST EMPTY_BODY,
  "HTTP/1.1 421 Misdirected Request\r\n" OTHER_REQUEST EMPTY_BODY,
  "HTTP/1.1 422 Unprocessable Content\r\n" OTHER_REQUEST "Server-Stamp: stamp-other\r\n" EMPTY_BODY,
  "HTTP/1.1 429 Too Many Requests\r\n" OTHER_REQUEST "Not-Run: 1\r\n" EMPTY_BODY,
  "HTTP/1.1 500 Internal Server Error\r\n" OTHER_REQUEST "Server-Stamp: stamp-other\r\n" EMPTY_BODY,
  "HTTP/1.1 503 Service Unavailable\r\n" OTHER_REQUEST "Not-Run: 1\r\n" EMPTY_BODY,
};

/* Answers that name no request, such as a second answer to a report or an order. */
static const char *const unnamed_answers[] = {
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
  "HTTP/1.1 202 Accepted\r\n" EMPTY_BODY,
  "HTTP/1.1 421 Misdirected Request\r\n" EMPTY_BODY,
  "HTTP/1.1 422 Unprocessable Content\r\n" EMPTY_BODY,
  "HTTP/1.1 500 Internal Server Error\r\n" EMPTY_BODY,
  "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" EMPTY_BODY,
};
