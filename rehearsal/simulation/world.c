/*
 * world.c: virtual time, processes and a faulty network.
 */
#include "world.h"

#include <string.h>

typedef struct
{
  gint64 at;
  guint64 serial; /* order among events of the same time */
  SimProcess *process;
  guint64 life;
  SimHandler handler;
  gpointer data;
  GDestroyNotify free;
} SimEvent;

typedef struct
{
  guint from;
  QuinceMessage *message;
} Delivery;

static void
process_free (gpointer data)
{
  SimProcess *process = data;
  g_free (process->name);
  g_free (process);
}

SimWorld *
sim_world_new (guint64 seed)
{
  SimWorld *world = g_new0 (SimWorld, 1);
  guint32 parts[2] = { (guint32)seed, (guint32)(seed >> 32) };
  world->random = g_rand_new_with_seed_array (parts, 2);
  world->events = g_ptr_array_new ();
  world->processes = g_ptr_array_new_with_free_func (process_free);
  world->now = SIM_SECOND;
  return world;
}

SimProcess *
sim_world_add (SimWorld *world, const SimClass *class, const char *kind, guint index)
{
  SimProcess *process = g_new0 (SimProcess, 1);
  process->class = class;
  process->id = world->processes->len;
  process->index = index;
  process->name = g_strdup_printf ("%s%u", kind, index);
  g_ptr_array_add (world->processes, process);
  return process;
}

SimProcess *
sim_world_find (SimWorld *world, const char *name)
{
  for (guint i = 0; i < world->processes->len; i++)
    {
      SimProcess *process = world->processes->pdata[i];
      if (g_str_equal (process->name, name))
        return process;
    }
  return NULL;
}

void
sim_world_begin (SimWorld *world)
{
  world->cut = g_new0 (gboolean, world->processes->len * world->processes->len);
  world->last_delivery = g_new0 (gint64, world->processes->len * world->processes->len);
  for (guint i = 0; i < world->processes->len; i++)
    sim_world_start (world, world->processes->pdata[i]);
}

guint
sim_random (SimWorld *world, guint below)
{
  return (guint)g_rand_int_range (world->random, 0, (gint32)below);
}

gboolean
sim_chance (SimWorld *world, double probability)
{
  return probability > 0 && g_rand_double (world->random) < probability;
}

void
sim_world_violate (SimWorld *world, const char *format, ...)
{
  if (world->violation != NULL)
    return;
  va_list arguments;
  va_start (arguments, format);
  world->violation = g_strdup_vprintf (format, arguments);
  va_end (arguments);
}

/* ---- Events: a binary heap ---------------------------------------------- */

static gboolean
before (const SimEvent *a, const SimEvent *b)
{
  return a->at != b->at ? a->at < b->at : a->serial < b->serial;
}

static void
swap (GPtrArray *heap, guint a, guint b)
{
  gpointer kept = heap->pdata[a];
  heap->pdata[a] = heap->pdata[b];
  heap->pdata[b] = kept;
}

static void
push (SimWorld *world, SimEvent *event)
{
  GPtrArray *heap = world->events;
  event->serial = world->serial++;
  g_ptr_array_add (heap, event);
  for (guint at = heap->len - 1; at > 0 && before (heap->pdata[at], heap->pdata[(at - 1) / 2]);
       at = (at - 1) / 2)
    swap (heap, at, (at - 1) / 2);
}

static SimEvent *
pop (SimWorld *world)
{
  GPtrArray *heap = world->events;
  if (heap->len == 0)
    return NULL;
  SimEvent *event = heap->pdata[0];
  heap->pdata[0] = heap->pdata[heap->len - 1];
  g_ptr_array_set_size (heap, (int)heap->len - 1);
  for (guint at = 0;;)
    {
      guint least = at;
      for (guint child = 2 * at + 1; child <= 2 * at + 2 && child < heap->len; child++)
        if (before (heap->pdata[child], heap->pdata[least]))
          least = child;
      if (least == at)
        return event;
      swap (heap, at, least);
      at = least;
    }
}

static void
event_free (SimEvent *event)
{
  if (event->free != NULL && event->data != NULL)
    event->free (event->data);
  g_free (event);
}

void
sim_world_at (SimWorld *world,
              SimProcess *process,
              gint64 delay,
              SimHandler handler,
              gpointer data,
              GDestroyNotify free)
{
  SimEvent *event = g_new0 (SimEvent, 1);
  event->at = world->now + MAX (0, delay);
  event->process = process;
  event->life = process->life;
  event->handler = handler;
  event->data = data;
  event->free = free;
  push (world, event);
}

gboolean
sim_world_step (SimWorld *world)
{
  SimEvent *event = pop (world);
  if (event == NULL || world->violation != NULL)
    {
      if (event != NULL)
        event_free (event);
      return FALSE;
    }
  world->now = MAX (world->now, event->at);
  SimProcess *process = event->process;
  if (process->alive && process->life == event->life && process->frozen_until > world->now)
    {
      event->at = process->frozen_until;
      push (world, event);
      return TRUE;
    }
  world->steps++;
  if (process->alive && process->life == event->life)
    {
      gpointer data = g_steal_pointer (&event->data);
      event->handler (world, process, data);
    }
  event_free (event);
  return world->violation == NULL;
}

void
sim_world_free (SimWorld *world)
{
  for (guint i = 0; i < world->processes->len; i++)
    sim_world_kill (world, world->processes->pdata[i]);
  SimEvent *event;
  while ((event = pop (world)) != NULL)
    event_free (event);
  g_ptr_array_unref (world->events);
  g_ptr_array_unref (world->processes);
  g_rand_free (world->random);
  g_free (world->cut);
  g_free (world->last_delivery);
  g_free (world->violation);
  g_free (world);
}

/* ---- Network -------------------------------------------------------------- */

gboolean
sim_world_is_cut (SimWorld *world, guint from, guint to)
{
  return world->cut[from * world->processes->len + to];
}

/* A message between our processes may lie for long in a socket; @longest bounds it. */
static gint64
delay (SimWorld *world, gint64 longest)
{
  double luck = g_rand_double (world->random);
  if (luck < 0.002)
    return (gint64)sim_random (world, (guint)longest);
  if (luck < 0.01)
    return (gint64)sim_random (world, 300 * SIM_MILLISECOND);
  return 200 + (gint64)sim_random (world, 3 * SIM_MILLISECOND);
}

static void
delivery_free (gpointer data)
{
  Delivery *delivery = data;
  if (delivery->message != NULL)
    quince_message_free (delivery->message);
  g_free (delivery);
}

static void
deliver_message (SimWorld *world, SimProcess *process, gpointer data)
{
  Delivery *delivery = data;
  process->class->receive (world, process, delivery->from, g_steal_pointer (&delivery->message));
  delivery_free (delivery);
}

static void
notify_lost (SimWorld *world, SimProcess *process, gpointer data)
{
  if (process->class->lost != NULL)
    process->class->lost (world, process, GPOINTER_TO_UINT (data));
}

static void
send_copy (SimWorld *world, guint from, guint to, QuinceMessage *message)
{
  SimProcess *target = world->processes->pdata[to];
  Delivery *delivery = g_new0 (Delivery, 1);
  delivery->from = from;
  delivery->message = message;
  sim_world_at (world, target, delay (world, 5 * SIM_SECOND), deliver_message, delivery, delivery_free);
}

void
sim_world_send (SimWorld *world, SimProcess *from, guint to, QuinceMessage *message)
{
  SimProcess *target = world->processes->pdata[to];
  if (!target->alive || sim_world_is_cut (world, from->id, to) || sim_chance (world, world->loss))
    {
      quince_message_free (message);
      sim_world_at (world, from, (gint64)sim_random (world, SIM_SECOND), notify_lost, GUINT_TO_POINTER (to),
                    NULL);
      return;
    }
  if (message->kind == QUINCE_MESSAGE_REPLICATION && sim_chance (world, world->duplication))
    send_copy (world, from->id, to, quince_message_copy (message));
  send_copy (world, from->id, to, message);
}

void
sim_world_deliver (SimWorld *world,
                   SimProcess *from,
                   guint to,
                   SimHandler handler,
                   gpointer data,
                   GDestroyNotify free)
{
  SimProcess *target = world->processes->pdata[to];
  if (!target->alive || sim_world_is_cut (world, from->id, to))
    {
      if (free != NULL)
        free (data);
      return;
    }
  gint64 *last = &world->last_delivery[from->id * world->processes->len + to];
  gint64 arrival = world->now + delay (world, 300 * SIM_MILLISECOND);
  *last = MAX (*last, arrival);
  sim_world_at (world, target, *last - world->now, handler, data, free);
}

/* ---- Lives ----------------------------------------------------------------- */

void
sim_world_kill (SimWorld *world, SimProcess *process)
{
  if (!process->alive)
    return;
  process->alive = FALSE;
  process->frozen_until = 0;
  if (process->class->end != NULL)
    process->class->end (world, process);
  process->state = NULL;
}

void
sim_world_start (SimWorld *world, SimProcess *process)
{
  if (process->alive)
    return;
  process->alive = TRUE;
  process->life++;
  process->stopping = FALSE;
  process->class->start (world, process);
}

void
sim_world_freeze (SimWorld *world, SimProcess *process, gint64 duration)
{
  if (process->alive)
    process->frozen_until = world->now + duration;
}

void
sim_world_heal (SimWorld *world)
{
  memset (world->cut, 0, sizeof (gboolean) * world->processes->len * world->processes->len);
}
