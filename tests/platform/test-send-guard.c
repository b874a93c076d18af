/*
 * test-send-guard.c: what a worker's end says of the requests that ran on it.
 */
#include <string.h>

#include "forward/send-guard.h"
#include "runtime/clock.h"

#include "await.h"
#include "standin-server.h"

#define SECOND G_USEC_PER_SEC

static const QuinceQuarantineLimits limits = { .suspects_max = 100,
                                               .suspect_bytes_max = 100000,
                                               .suspect_ttl_us = 60 * SECOND,
                                               .held_ttl_us = 60 * SECOND };

typedef struct
{
  guint ends;
} Told;

static gboolean
nobody_to_ask (const QuinceRequestDigest *digest, const char *service, gboolean alone, gpointer data)
{
  return FALSE;
}

static void
give_back (const QuinceRequestDigest *digest, gpointer data)
{
}

static void
ended (const QuinceSuspect *suspect, gpointer data)
{
  ((Told *)data)->ends++;
}

static void
cleared (const QuinceRequestDigest *digest, QuinceSuspectScope scope, guint ends, gpointer data)
{
}

static const QuinceSendGuardCallbacks callbacks
    = { .request_permit = nobody_to_ask, .return_permit = give_back, .ended = ended, .cleared = cleared };

static QuinceRequestIdentity
identity_of (guint8 number)
{
  QuinceRequestIdentity identity = { 0 };
  memset (identity.request.bytes, number, sizeof identity.request.bytes);
  return identity;
}

/* Its address refuses connections, as that of a worker that has ended. */
static QuinceWorker *
ended_worker (const char *id, GSocket **port)
{
  *port = standin_reserve_port ("127.0.0.1:0");
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (*port, NULL);
  QuinceWorker *worker = quince_worker_new (id);
  worker->service = g_strdup ("llm");
  worker->address
      = g_strdup_printf ("127.0.0.1:%u", g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (local)));
  return worker;
}

/* Breaks the connection of a request that was sent to @worker as it is listed now. */
static void
lose_run (QuinceSendGuard *guard,
          const QuinceRequestIdentity *identity,
          QuinceSendPermit *permit,
          const QuinceWorker *worker)
{
  QuinceWorkerRef ref = { 0 };
  quince_worker_ref_set (&ref, worker, 0);
  quince_send_guard_handle_connection_loss (guard, identity, permit, &ref, worker);
  quince_worker_ref_clear (&ref);
}

static void
lose (QuinceSendGuard *guard, guint8 request, const QuinceWorker *worker)
{
  QuinceRequestIdentity identity = identity_of (request);
  QuinceSendPermit permit = { .taken = TRUE, .alone = TRUE, .digest = identity.request };
  lose_run (guard, &identity, &permit, worker);
}

static guint
alone_of (QuinceSendGuard *guard, guint8 request)
{
  QuinceRequestIdentity identity = identity_of (request);
  const QuinceSuspect *suspect
      = quince_quarantine_find (quince_send_guard_get_quarantine (guard), &identity.request);
  return suspect != NULL ? suspect->alone : 0;
}

/* A long run outlasts the time for which others are kept from its service: two that were each sent alone may
 * meet at one worker, and only one of them ended it.  Neither counts as having met that end alone. */
static void
test_two_that_met (void **state)
{
  Told told = { 0 };
  QuinceSendGuard *guard = quince_send_guard_new (&limits, &callbacks, &told);
  for (guint i = 0; i < 6; i++)
    {
      g_autofree char *id = g_strdup_printf ("w%u", i);
      g_autoptr (GSocket) port = NULL;
      g_autoptr (QuinceWorker) worker = ended_worker (id, &port);
      lose (guard, 1, worker);
      lose (guard, 2, worker);
      AWAIT (told.ends == 2 * (i + 1));
    }
  assert_int_equal (alone_of (guard, 1), 0);
  assert_int_equal (alone_of (guard, 2), 0);
  QuinceRequestIdentity first = identity_of (1);
  assert_int_equal (quince_quarantine_get_rule (quince_send_guard_get_quarantine (guard), &first.request),
                    QUINCE_SEND_ALONE);
  quince_send_guard_free (guard);
}

/* One beside others that needed no permit was the only suspect there. */
static void
test_one_beside_others (void **state)
{
  Told told = { 0 };
  QuinceSendGuard *guard = quince_send_guard_new (&limits, &callbacks, &told);
  g_autoptr (GSocket) port = NULL;
  g_autoptr (QuinceWorker) worker = ended_worker ("w", &port);
  QuinceRequestIdentity innocent = identity_of (9);
  QuinceSendPermit none = { 0 };
  lose_run (guard, &innocent, &none, worker);
  lose (guard, 1, worker);
  AWAIT (told.ends == 2);
  assert_int_equal (alone_of (guard, 1), 1);
  assert_int_equal (alone_of (guard, 9), 0);
  quince_send_guard_free (guard);
}

static guint
ends_of (QuinceSendGuard *guard, guint8 request)
{
  QuinceRequestIdentity identity = identity_of (request);
  const QuinceSuspect *suspect
      = quince_quarantine_find (quince_send_guard_get_quarantine (guard), &identity.request);
  return suspect != NULL ? suspect->n_workers : 0;
}

/* The entry of the restarted worker is read before the connection to its former process breaks: the former
 * process has ended, although the new one accepts connections. */
static void
test_restart_known_before_loss (void **state)
{
  Told told = { 0 };
  QuinceSendGuard *guard = quince_send_guard_new (&limits, &callbacks, &told);
  StandinServer *server = standin_server_new (NULL, NULL);
  g_autoptr (QuinceWorker) worker = quince_worker_new ("w");
  worker->service = g_strdup ("llm");
  worker->address = g_strdup (standin_server_get_address (server));
  QuinceWorkerRef ref = { 0 };
  quince_worker_ref_set (&ref, worker, quince_now_us ());
  quince_worker_set_start_time (worker, 1);
  QuinceRequestIdentity identity = identity_of (1);
  QuinceSendPermit permit = { .taken = TRUE, .alone = TRUE, .digest = identity.request };
  quince_send_guard_handle_connection_loss (guard, &identity, &permit, &ref, worker);
  assert_int_equal (told.ends, 1);
  assert_int_equal (ends_of (guard, 1), 1);
  assert_false (
      quince_quarantine_has_worker_ended (quince_send_guard_get_quarantine (guard), worker->incarnation));
  quince_worker_ref_clear (&ref);
  standin_server_free (server);
  quince_send_guard_free (guard);
}

/* A connection that breaks after the worker was recorded as ended went to a later process of it: that is
 * checked anew, and its end counts. */
static void
test_ends_without_new_entry (void **state)
{
  Told told = { 0 };
  QuinceSendGuard *guard = quince_send_guard_new (&limits, &callbacks, &told);
  g_autoptr (GSocket) port = NULL;
  g_autoptr (QuinceWorker) worker = ended_worker ("w", &port);
  QuinceRequestIdentity identity = identity_of (1);
  QuinceWorkerRef ref = { 0 };
  for (guint i = 1; i <= 3; i++)
    {
      QuinceSendPermit permit = { .taken = TRUE, .alone = TRUE, .digest = identity.request };
      quince_worker_ref_set (&ref, worker, quince_now_us ());
      quince_send_guard_handle_connection_loss (guard, &identity, &permit, &ref, worker);
      AWAIT (told.ends == i);
      assert_int_equal (ends_of (guard, 1), i);
      run_for (2);
    }
  quince_worker_ref_clear (&ref);
  quince_send_guard_free (guard);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_two_that_met),
    cmocka_unit_test (test_one_beside_others),
    cmocka_unit_test (test_restart_known_before_loss),
    cmocka_unit_test (test_ends_without_new_entry),
  };
  return cmocka_run_group_tests_name ("send-guard", tests, NULL, NULL);
}
