/*
 * memory-account.h: the bytes that requests of clients hold in a process.
 *
 * Every request has a hold, from its head to the end of its answer.  Its bytes are reserved before they are
 * read where their number is announced, and as they arrive otherwise.  A request for which there is no room
 * is refused.  To make room, holds that wait for their peer and make no progress are ended, the one that has
 * been still longest first; holds that make progress, or whose request is being processed, are not.  Large
 * requests leave a part of the account to small ones.
 *
 * Time is an argument: monotonic, us.  An account outlives its holds.  Both belong to the main context.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Requests of up to this size may use the part that large ones leave free. */
#define QUINCE_SMALL_REQUEST_MAX_BYTES (64 * 1024)

typedef struct _QuinceMemoryAccount QuinceMemoryAccount;
typedef struct _QuinceMemoryHold QuinceMemoryHold;

/* Ends the request of a hold that makes no progress, and frees the hold. */
typedef void (*QuinceMemoryEvict) (gpointer user_data);

/**
 * quince_memory_account_compute_limit:
 * @memory_bytes: memory of the machine for this process
 * @other_bytes: what the process takes for other purposes
 * @share: part of the rest that is for requests, up to 1
 *
 * Returns: what requests may hold, at least an eighth of the memory
 */
guint64 quince_memory_account_compute_limit (guint64 memory_bytes, guint64 other_bytes, double share);
/* @limit_bytes: what all holds may have together */
QuinceMemoryAccount *quince_memory_account_new (guint64 limit_bytes);
void quince_memory_account_free (QuinceMemoryAccount *account);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceMemoryAccount, quince_memory_account_free)
guint64 quince_memory_account_get_limit (const QuinceMemoryAccount *account);
guint64 quince_memory_account_get_held (const QuinceMemoryAccount *account);
guint quince_memory_account_get_n_holds (const QuinceMemoryAccount *account);
/* Returns the number of holds that were ended to make room. */
guint64 quince_memory_account_get_n_evicted (const QuinceMemoryAccount *account);

/**
 * quince_memory_hold_new:
 * @evict: (nullable): ends the request; %NULL: it is never ended
 * @user_data: names the request; a hold is not ended to make room for another one of the same request
 *
 * Returns: (transfer full): a hold of no bytes that does not wait for its peer
 */
QuinceMemoryHold *
quince_memory_hold_new (QuinceMemoryAccount *account, QuinceMemoryEvict evict, gpointer user_data);
/* Releases the bytes of the hold. */
void quince_memory_hold_free (QuinceMemoryHold *hold);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceMemoryHold, quince_memory_hold_free)
guint64 quince_memory_hold_get_bytes (const QuinceMemoryHold *hold);
/**
 * quince_memory_hold_reserve:
 * @bytes: what the request is to hold, in place of what it holds
 *
 * Reserves more bytes, after ending others if that makes room.
 *
 * Returns: %FALSE if there is no room; nothing has changed then
 */
gboolean quince_memory_hold_reserve (QuinceMemoryHold *hold, guint64 bytes, gint64 now_us);
/* Sets what the request holds whether there is room or not, for bytes that are in memory already. */
void quince_memory_hold_set (QuinceMemoryHold *hold, guint64 bytes);
/* Sets whether the request waits for bytes from its peer, or for the peer to take bytes.  The time without
 * progress counts from a change on. */
void quince_memory_hold_set_waiting (QuinceMemoryHold *hold, gboolean waits, gint64 now_us);
/* Records that @bytes passed from or to the peer.  So few that the request would take minutes are no
 * progress.
 */
void quince_memory_hold_record_progress (QuinceMemoryHold *hold, gsize bytes, gint64 now_us);

G_END_DECLS
