/*
 * standin-endless.h: answers of a stand-in that do not end before their connection is closed.
 *
 * A writer owns the calls that it answers.  All functions are called from the main context of the test.
 */
#pragma once

#include "standin-server.h"

/* Stands for the header with the id of the request in StandinEndlessAnswer.start; empty if it has none. */
#define STANDIN_ENDLESS_ID_LINE "@ID@"
/* Stands for the number of the repetition in StandinEndlessAnswer.unit, ten digits, from 1. */
#define STANDIN_ENDLESS_NUMBER "@NUMBER@@@"

/**
 * StandinEndlessAnswer:
 * @name: of the test case
 * @start: written once
 * @unit: repeated until the connection is closed
 * @interval_ms: time between two units; 0: as fast as the peer reads
 */
typedef struct
{
  const char *name;
  const char *start;
  const char *unit;
  guint interval_ms;
} StandinEndlessAnswer;

typedef struct _StandinEndlessWriter StandinEndlessWriter;

StandinEndlessWriter *standin_endless_writer_new (void);
/* The server of the calls must be freed before. */
void standin_endless_writer_free (StandinEndlessWriter *writer);
/* Answers @call with @answer, which must outlive it, and takes the call. */
void standin_endless_writer_answer (StandinEndlessWriter *writer,
                                    StandinCall *call,
                                    const StandinEndlessAnswer *answer);
/* Returns the number of calls so far. */
guint standin_endless_writer_get_n_calls (const StandinEndlessWriter *writer);
/* Returns the number of calls whose connection is open. */
guint standin_endless_writer_get_n_open (const StandinEndlessWriter *writer);
/* Returns the number of bytes that the kernel has accepted. */
guint64 standin_endless_writer_get_n_bytes (const StandinEndlessWriter *writer);
