/* Reference implementation of custody.h: stores all records in an array. */
#ifndef NAIVE_CUSTODY_H
#define NAIVE_CUSTODY_H

#include "custody/custody.h"

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
  struct bd_custody_claim claim; /* The first claim. */
  struct bd_hand_over received;
  struct bd_hand_over handed_over;
  enum naive_state state;
  bool dropped;
  bool billed;
  GArray *waiters; /* struct bd_id */
  int64_t claimed_ms;
  int64_t claimed_wall_ms;
  int64_t finished_ms;
  struct bd_id owner;
  GString *answer;
  GString *content_type;
  int status;
};

struct naive_custody
{
  struct bd_custody_settings settings;
  int64_t home_wall_ms;
  int64_t confirmed_ms;
  GPtrArray *records;
};

struct naive_custody *
naive_custody_create (const struct bd_custody_settings *settings);
void naive_custody_destroy (struct naive_custody *n);
void naive_custody_claim (struct naive_custody *n, int64_t now_ms,
                          int64_t wall_ms,
                          const struct bd_custody_claim *claim,
                          struct bd_custody_answer *answer);
bool naive_custody_start (struct naive_custody *n, int64_t now_ms,
                          struct bd_key key, struct bd_id request);
int naive_custody_withdraw (struct naive_custody *n, struct bd_key key,
                            struct bd_id request);
int naive_custody_hand_over (struct naive_custody *n, int64_t now_ms,
                             int64_t wall_ms, struct bd_key key,
                             struct bd_chunk successor, uint64_t incarnation,
                             const struct bd_hand_over **out);
void naive_custody_finish (struct naive_custody *n, int64_t now_ms,
                           struct bd_key key, int error, int status,
                           struct bd_chunk content_type,
                           struct bd_chunk answer);
void naive_custody_not_sent (struct naive_custody *n, struct bd_key key,
                             struct bd_id request);
bool naive_custody_bill (struct naive_custody *n, struct bd_key key);
void naive_custody_tick (struct naive_custody *n, int64_t now_ms);
uint32_t naive_custody_count (const struct naive_custody *n);

#endif
