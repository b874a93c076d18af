/*
 * kv-internal.h: what the watch and the operator store need of the key-value
 * client beyond its public interface (internal to the platform library).
 */
#pragma once

#include <libsoup/soup.h>

#include "clients/kv-client.h"

G_BEGIN_DECLS

/* (transfer none) */
SoupSession *quince_kv_client_get_session (QuinceKvClient *client);
/* (transfer none) (nullable): address now preferred, %NULL when there is none */
const char *quince_kv_client_get_endpoint (QuinceKvClient *client);
/* The preferred address failed: prefer the next one. */
void quince_kv_client_next_endpoint (QuinceKvClient *client);
/* Drops every pending operation with @user_data: its callback will not come. */
void quince_kv_client_cancel (QuinceKvClient *client, gpointer user_data);

G_END_DECLS
