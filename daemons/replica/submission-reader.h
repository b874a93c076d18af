/*
 * submission-reader.h: decodes the batches that fronts submit, in slices.
 *
 * A large batch takes longer to decode than the leader may be silent, so that heartbeats and other calls are
 * handled in between.  A submission that arrives again meanwhile waits for the same batch.
 */
#pragma once

#include "http1/http1.h"
#include "protocol/codec.h"
#include "runtime/link.h"

G_BEGIN_DECLS

typedef struct _QuinceSubmissionReader QuinceSubmissionReader;

/* A call that waits for the batch. */
typedef struct
{
  QuinceLink *link; /* owned */
  guint64 call_id;
} QuinceSubmissionCall;

/**
 * QuinceSubmission:
 * @id: of the batch
 * @tenant: that submits it; "" if there is none
 * @calls: (element-type QuinceSubmissionCall): calls to answer; may be empty, since links close
 */
typedef struct
{
  char *id;
  char *tenant;
  GArray *calls;
} QuinceSubmission;

/* @batch: (transfer full) (nullable): the decoded batch with its id, host and path, or %NULL with @error */
typedef void (*QuinceSubmissionRead) (const QuinceSubmission *submission,
                                      QuinceBatchJob *batch,
                                      const GError *error,
                                      gpointer user_data);

QuinceSubmissionReader *quince_submission_reader_new (QuinceSubmissionRead read, gpointer user_data);
void quince_submission_reader_free (QuinceSubmissionReader *reader);
/**
 * quince_submission_reader_start:
 * @link: on which @call arrived
 * @call: its body is taken
 * @hold: (transfer full) (nullable): for the memory of the body
 *
 * Decodes a submission.  Calls read() before it returns if the batch is small.
 */
void quince_submission_reader_start (QuinceSubmissionReader *reader,
                                     QuinceLink *link,
                                     QuinceServiceCall *call,
                                     const QuinceHttpHeaders *headers,
                                     const char *id,
                                     QuinceMemoryHold *hold);
/* Adds a call to the submission of the batch @id.  Returns %FALSE if none is being read. */
gboolean quince_submission_reader_join (QuinceSubmissionReader *reader,
                                        const char *id,
                                        QuinceLink *link,
                                        guint64 call_id);
/* Returns whether a submission of the batch @id is being read. */
gboolean quince_submission_reader_has (const QuinceSubmissionReader *reader, const char *id);
/* Drops the calls of @link. */
void quince_submission_reader_link_closed (QuinceSubmissionReader *reader, QuinceLink *link);
/* Drops all submissions.  @dropped: called for each of them */
void quince_submission_reader_clear (QuinceSubmissionReader *reader,
                                     void (*dropped) (const QuinceSubmission *submission, gpointer user_data),
                                     gpointer user_data);

G_END_DECLS
