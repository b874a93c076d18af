/*
 * process-usage.h: memory and descriptors that a child process uses at one moment.
 */
#pragma once

#include "process.h"

G_BEGIN_DECLS

/**
 * QuinceProcessUsage:
 * @resident_bytes: resident memory
 * @peak_resident_bytes: its maximum since the process started
 * @unread_bytes: bytes that have arrived at the TCP sockets of the process and that it has not read
 * @n_descriptors: open descriptors
 * @n_sockets: those of them that are sockets
 */
typedef struct
{
  guint64 resident_bytes;
  guint64 peak_resident_bytes;
  guint64 unread_bytes;
  guint n_descriptors;
  guint n_sockets;
} QuinceProcessUsage;

/* Reads the usage.  Returns %FALSE if the process has ended. */
gboolean quince_process_read_usage (QuinceProcess *process, QuinceProcessUsage *usage);

G_END_DECLS
