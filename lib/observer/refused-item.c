/*
 * refused-item.c: log line for an item of the metadata store that cannot be decoded.
 */
#include "refused-item.h"

#include "runtime/log.h"

void
quince_log_refused_item (const char *key, const GError *error)
{
  g_autofree char *reason = quince_log_quote (error->message);
  g_autofree char *name = quince_log_quote (key);
  quince_log_warning ("item_refused", "key=%s error=%s code=%d reason=%s", name,
                      g_quark_to_string (error->domain), error->code, reason);
}
