/* Reference implementation of idempotency.h: stores all records in an array.
 */
#ifndef NAIVE_IDEMPOTENCY_H
#define NAIVE_IDEMPOTENCY_H

#include "idempotency/idempotency.h"

#include <glib.h>

enum naive_state
{
  NAIVE_QUEUED,
  NAIVE_RUNNING,
  NAIVE_RECORDED,
  NAIVE_RAN,
  NAIVE_UNKNOWN,
  NAIVE_ENDED,
  NAIVE_HANDED_OVER
};

struct naive_record
{
  struct bd_idempotency_claim claim; /* The first claim. */
  struct bd_handover received;
  struct bd_handover handed_over;
  enum naive_state state;
  bool dropped;
  bool billed;
  GArray *waiters; /* struct bd_id */
  int64_t claimed_ms;
  int64_t claimed_wall_ms;
  int64_t finished_ms;
  struct bd_id run_request;
  GString *answer;
  GString *content_type;
  int status;
};

struct naive_idempotency
{
  struct bd_idempotency_settings settings;
  int64_t home_since_wall_ms;
  int64_t confirmed_ms;
  GPtrArray *records;
};

struct naive_idempotency *
naive_idempotency_create (const struct bd_idempotency_settings *settings);
void naive_idempotency_destroy (struct naive_idempotency *n);
void naive_idempotency_claim (struct naive_idempotency *n, int64_t now_ms,
                              int64_t wall_ms,
                              const struct bd_idempotency_claim *claim,
                              struct bd_idempotency_answer *answer);
bool naive_idempotency_start (struct naive_idempotency *n, int64_t now_ms,
                              struct bd_key key, struct bd_id request);
int naive_idempotency_withdraw (struct naive_idempotency *n, struct bd_key key,
                                struct bd_id request);
int naive_idempotency_hand_over (struct naive_idempotency *n, int64_t now_ms,
                                 int64_t wall_ms, struct bd_key key,
                                 struct bd_chunk successor,
                                 uint64_t incarnation,
                                 const struct bd_handover **out);
void naive_idempotency_finish (struct naive_idempotency *n, int64_t now_ms,
                               struct bd_key key, int error, int status,
                               struct bd_chunk content_type,
                               struct bd_chunk answer);
void naive_idempotency_undo_start (struct naive_idempotency *n,
                                   struct bd_key key, struct bd_id request);
bool naive_idempotency_bill_once (struct naive_idempotency *n,
                                  struct bd_key key);
void naive_idempotency_tick (struct naive_idempotency *n, int64_t now_ms);
uint32_t naive_idempotency_count (const struct naive_idempotency *n);

#endif
