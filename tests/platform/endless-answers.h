/*
 * endless-answers.h: bytes without end in place of an answer, and what they cost a process that reads them.
 */
#pragma once

#include "path-world.h"

#define ENDLESS_STATUS "HTTP/1.1 200 OK\r\n"
#define ENDLESS_ID STANDIN_ENDLESS_ID_LINE
#define ENDLESS_HEAD ENDLESS_STATUS ENDLESS_ID "Server-Stamp: stamp-endless\r\nWeight-Versions: 1\r\n"
#define ENDLESS_CHUNKS ENDLESS_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define ENDLESS_UNTIL_CLOSED ENDLESS_HEAD "Connection: close\r\n\r\n"
#define ENDLESS_OTHER_CHUNKS ENDLESS_STATUS "Request-Id: of-another\r\nTransfer-Encoding: chunked\r\n\r\n"
#define ENDLESS_CHUNK "20\r\n0123456789abcdef0123456789abcdef\r\n"
#define ENDLESS_EVENT_DATA "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define ENDLESS_EVENTS "id: " STANDIN_ENDLESS_NUMBER "\ndata: " ENDLESS_EVENT_DATA "\n\n"
#define ENDLESS_SLOW_MS 10

/* Answers that are no answer to any request. */
static const StandinEndlessAnswer endless_answers[] = {
  { .name = "empty lines before the head", .start = "", .unit = "\r\n" },
  { .name = "text before the head", .start = "", .unit = "x" },
  { .name = "status line", .start = "HTTP/1.1 200 ", .unit = "x" },
  { .name = "name of a header", .start = ENDLESS_HEAD, .unit = "x" },
  { .name = "value of a header", .start = ENDLESS_HEAD "Name: ", .unit = "x" },
  { .name = "headers", .start = ENDLESS_HEAD, .unit = "Name: value\r\n" },
  { .name = "interim answers", .start = "", .unit = "HTTP/1.1 100 Continue\r\n\r\n" },
  { .name = "interim answers with headers",
    .start = "",
    .unit = "HTTP/1.1 103 Early Hints\r\nLink: " ENDLESS_EVENT_DATA "\r\n\r\n" },
  { .name = "answers to other requests",
    .start = "",
    .unit = ENDLESS_STATUS "Request-Id: of-another\r\nContent-Length: 0\r\n\r\n" },
  { .name = "body of an answer to another request", .start = ENDLESS_OTHER_CHUNKS, .unit = ENDLESS_CHUNK },
  { .name = "size of a chunk", .start = ENDLESS_CHUNKS, .unit = "0" },
  { .name = "extension of a chunk", .start = ENDLESS_CHUNKS "5;", .unit = "x" },
  { .name = "trailer fields", .start = ENDLESS_CHUNKS "0\r\n", .unit = "Name: value\r\n" },
  { .name = "body of a failure",
    .start = "HTTP/1.1 500 Error\r\n" ENDLESS_ID "Server-Stamp: stamp-endless\r\nConnection: close\r\n\r\n",
    .unit = "x" },
};

/* Bodies of answers, as a reader that collects them sees them. */
static const StandinEndlessAnswer endless_bodies[] = {
  { .name = "chunks", .start = ENDLESS_CHUNKS, .unit = ENDLESS_CHUNK },
  { .name = "one chunk", .start = ENDLESS_CHUNKS "fffffffffffff\r\n", .unit = "x" },
  { .name = "body until the end of the connection", .start = ENDLESS_UNTIL_CLOSED, .unit = "x" },
  { .name = "body of a great length",
    .start = ENDLESS_HEAD "Content-Length: 9999999999999\r\n\r\n",
    .unit = "x" },
};

/* Bodies that are no events, as a reader of events sees them. */
static const StandinEndlessAnswer endless_events[] = {
  { .name = "line of an event", .start = ENDLESS_UNTIL_CLOSED "id: 1\ndata: ", .unit = "x" },
  { .name = "lines of an event", .start = ENDLESS_UNTIL_CLOSED "id: 1\n", .unit = "data: x\n" },
  { .name = "comments in an event", .start = ENDLESS_UNTIL_CLOSED "id: 1\n", .unit = ": comment\n" },
  { .name = "empty lines", .start = ENDLESS_UNTIL_CLOSED, .unit = "\n\n" },
  { .name = "comments", .start = ENDLESS_UNTIL_CLOSED, .unit = ": comment\n\n" },
  { .name = "events without an id", .start = ENDLESS_UNTIL_CLOSED, .unit = "data: x\n\n" },
  { .name = "slow line of an event",
    .start = ENDLESS_UNTIL_CLOSED "id: 1\ndata: ",
    .unit = "x",
    .interval_ms = ENDLESS_SLOW_MS },
  { .name = "slow comments",
    .start = ENDLESS_UNTIL_CLOSED,
    .unit = ": comment\n\n",
    .interval_ms = ENDLESS_SLOW_MS },
};

/* Events in order, of which a reader cannot tell that they are no answer. */
static const StandinEndlessAnswer endless_stream
    = { .name = "events in order", .start = ENDLESS_UNTIL_CLOSED, .unit = ENDLESS_EVENTS };

/* AddressSanitizer delays the reuse of freed memory. */
#ifdef __SANITIZE_ADDRESS__
#define ENDLESS_MEMORY_SLACK_BYTES (600u << 20)
#else
#define ENDLESS_MEMORY_SLACK_BYTES (16u << 20)
#endif

/* Memory of one process during a test case. */
typedef struct
{
  QuinceProcess *process;
  guint64 initial_bytes;
  guint64 peak_bytes;
  gint64 started_us;
} EndlessCost;

static inline EndlessCost
endless_cost_begin (QuinceProcess *process)
{
  guint64 bytes = quince_process_get_memory (process);
  return (EndlessCost){ process, bytes, bytes, g_get_monotonic_time () };
}

/* Returns TRUE, so that the condition of a wait can call it. */
static inline gboolean
endless_cost_measure (EndlessCost *cost)
{
  cost->peak_bytes = MAX (cost->peak_bytes, quince_process_get_memory (cost->process));
  return TRUE;
}

/* Asserts that the process grew by at most @held_bytes and what it needs for other purposes. */
static inline void
endless_cost_end (EndlessCost *cost, const char *name, guint64 held_bytes, guint64 n_bytes)
{
  endless_cost_measure (cost);
  guint64 grown = cost->peak_bytes - MIN (cost->initial_bytes, cost->peak_bytes);
  print_message ("  %s: %u ms, wrote %u KiB, %s %u to %u KiB\n", name,
                 (guint)((g_get_monotonic_time () - cost->started_us) / 1000), (guint)(n_bytes >> 10),
                 quince_process_get_name (cost->process), (guint)(cost->initial_bytes >> 10),
                 (guint)(cost->peak_bytes >> 10));
  if (!quince_process_is_running (cost->process))
    fail_msg ("%s ended: %s", quince_process_get_name (cost->process), name);
  if (grown > held_bytes + ENDLESS_MEMORY_SLACK_BYTES)
    fail_msg ("%s: memory grew by %u MiB", name, (guint)(grown >> 20));
}

/* The workers of one service. */
typedef struct
{
  StandinWorker **workers;
  guint n_workers;
} EndlessWorkers;

static inline void
endless_set (const EndlessWorkers *service, const StandinEndlessAnswer *answer)
{
  for (guint i = 0; i < service->n_workers; i++)
    standin_worker_set_endless_answer (service->workers[i], answer, G_MAXUINT);
}

static inline guint64
endless_get_n_bytes (const EndlessWorkers *service)
{
  guint64 n_bytes = 0;
  for (guint i = 0; i < service->n_workers; i++)
    n_bytes += standin_endless_writer_get_n_bytes (standin_worker_get_endless_writer (service->workers[i]));
  return n_bytes;
}

static inline guint
endless_get_n_open (const EndlessWorkers *service)
{
  guint n_open = 0;
  for (guint i = 0; i < service->n_workers; i++)
    n_open += standin_endless_writer_get_n_open (standin_worker_get_endless_writer (service->workers[i]));
  return n_open;
}

static inline guint
endless_get_n_calls (const EndlessWorkers *service)
{
  guint n_calls = 0;
  for (guint i = 0; i < service->n_workers; i++)
    n_calls += standin_endless_writer_get_n_calls (standin_worker_get_endless_writer (service->workers[i]));
  return n_calls;
}
