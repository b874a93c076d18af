/*
 * groups.h: makes and submits batches of groups whose items share a prompt prefix.
 */
#pragma once

#include "path-world.h"

/**
 * Group:
 * @name: part of the path and of the prompt prefix of each item
 * @members: number of items
 */
typedef struct
{
  const char *name;
  guint members;
} Group;

#define GROUP_BODY_BYTES 300

/* Returns: (transfer full): pseudo-random bytes, the same for the same item */
static inline GBytes *
group_item_body (const char *group, guint member)
{
  GRand *random = g_rand_new_with_seed (g_str_hash (group) + member);
  guint8 *bytes = g_malloc (GROUP_BODY_BYTES);
  for (guint i = 0; i < GROUP_BODY_BYTES; i++)
    bytes[i] = (guint8)g_rand_int_range (random, 0, 256);
  g_rand_free (random);
  return g_bytes_new_take (bytes, GROUP_BODY_BYTES);
}

static inline char *
group_item_path (const char *group, guint member)
{
  return g_strdup_printf ("/r/%s/%u?a=%%2f&b=%u", group, member, member);
}

static inline char *
group_item_prompt (const char *group, guint member)
{
  return g_strdup_printf ("%s:1000,%s-%u:16", group, group, member);
}

static inline void
group_add_item (GString *text, const char *batch, const Group *group, guint member)
{
  g_autoptr (GBytes) body = group_item_body (group->name, member);
  g_autofree char *encoded = g_base64_encode (g_bytes_get_data (body, NULL), g_bytes_get_size (body));
  g_autofree char *path = group_item_path (group->name, member);
  g_autofree char *prompt = group_item_prompt (group->name, member);
  g_string_append_printf (text,
                          "%s{\"id\":\"%s-%s-%u\",\"path\":\"%s\",\"headers\":{\"Model\":\"model-a\","
                          "\"Token-Count\":\"1016,1116\",\"Prompt-Prefix\":\"%s\"},\"body\":\"%s\","
                          "\"tokens\":1116,\"group\":\"%s-%s\",\"scorer\":{\"id\":\"%s-%s-%u-s\",\"host\":"
                          "\"" PATH_HOST "\",\"path\":\"/w/%u\",\"body\":\"%s\"}}",
                          text->str[text->len - 1] == '[' ? "" : ",", batch, group->name, member, path,
                          prompt, encoded, batch, group->name, batch, group->name, member, member, encoded);
}

/* Returns: (transfer full): the batch as JSON */
static inline char *
groups_make_batch (const char *batch, const Group *groups, guint n_groups)
{
  g_autoptr (GString) text
      = g_string_new ("{\"step\":0,\"model\":\"model-a\",\"minVersion\":1,\"desired\":2,\"items\":[");
  for (guint i = 0; i < n_groups; i++)
    for (guint j = 0; j < groups[i].members; j++)
      group_add_item (text, batch, &groups[i], j);
  g_string_append (text, "]}");
  return g_string_free (g_steal_pointer (&text), FALSE);
}

/* Submits the batch at @front until it is accepted. */
static inline void
groups_submit (PathWorld *world, guint front, const char *batch, const Group *groups, guint n_groups)
{
  g_autofree char *text = groups_make_batch (batch, groups, n_groups);
  AWAIT (path_status (path_front (world, front), "POST", "/r/batch", batch, text) == 202);
}
