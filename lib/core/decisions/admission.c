/*
 * admission.c: whether the send guard lets a request, stream or sample be sent to a worker now.
 */
#include "core/decisions/admission.h"

/* Minimum time that a request may wait for admission, us: longer than the check of a lost worker (150 ms) and
 * a typical lookup (25 ms) together. */
#define ADMISSION_WAIT_MIN_US (200 * 1000)

QuinceAdmission
quince_admission_for_request (const QuinceAdmissionInput *request)
{
  if (request->rule == QUINCE_SEND_HELD && !request->owed)
    return QUINCE_ADMISSION_HELD;
  if (request->loss_check_pending || request->permit_in_use)
    return QUINCE_ADMISSION_WAIT;
  if (request->rule == QUINCE_SEND_UNRESTRICTED)
    return QUINCE_ADMISSION_GRANTED;
  if (request->rule == QUINCE_SEND_HELD && request->owed_wait_us > 0)
    return QUINCE_ADMISSION_POSTPONED;
  return request->should_yield ? QUINCE_ADMISSION_WAIT : QUINCE_ADMISSION_PERMIT;
}

QuinceAdmission
quince_admission_for_permit_state (QuincePermitState state, gboolean alone)
{
  switch (state)
    {
    case QUINCE_PERMIT_GRANTED:
      return QUINCE_ADMISSION_PERMIT;
    case QUINCE_PERMIT_NO_LEADER:
      return alone ? QUINCE_ADMISSION_NO_PERMIT : QUINCE_ADMISSION_UNHEDGED;
    case QUINCE_PERMIT_PENDING:
    default:
      return QUINCE_ADMISSION_WAIT;
    }
}

gboolean
quince_admission_allows_hedge (const QuinceAdmissionInput *request)
{
  return request->rule == QUINCE_SEND_UNRESTRICTED && !request->loss_check_pending;
}

gboolean
quince_admission_protected_may_wait (gboolean response_started)
{
  return response_started;
}

gboolean
quince_admission_may_keep_waiting (gint64 waited_us, gint64 target_latency_us)
{
  return waited_us < MAX (target_latency_us, ADMISSION_WAIT_MIN_US);
}
