#include "naive_idempotency.h"

#include "common/string.h"

#include <string.h>

static void
record_free (gpointer data)
{
  struct naive_record *r = data;

  g_array_free (r->waiters, TRUE);
  g_string_free (r->answer, TRUE);
  g_string_free (r->content_type, TRUE);
  g_free (r);
}

struct naive_idempotency *
naive_idempotency_create (const struct bd_idempotency_settings *settings)
{
  struct naive_idempotency *n = g_new0 (struct naive_idempotency, 1);

  n->settings = *settings;
  n->home_since_wall_ms = settings->started_wall_ms;
  n->confirmed_ms = INT64_MIN / 2;
  n->records = g_ptr_array_new_with_free_func (record_free);
  return n;
}

void
naive_idempotency_destroy (struct naive_idempotency *n)
{
  g_ptr_array_free (n->records, TRUE);
  g_free (n);
}

static struct naive_record *
record_at (const struct naive_idempotency *n, guint i)
{
  return g_ptr_array_index (n->records, i);
}

static struct naive_record *
find (const struct naive_idempotency *n, struct bd_key key)
{
  for (guint i = 0; i < n->records->len; i++)
    if (!record_at (n, i)->dropped
        && bd_id_equal (record_at (n, i)->claim.key.id, key.id))
      return record_at (n, i);
  return NULL;
}

static guint
waiter_index (const struct naive_record *r, struct bd_id request)
{
  for (guint i = 0; i < r->waiters->len; i++)
    if (bd_id_equal (g_array_index (r->waiters, struct bd_id, i), request))
      return i;
  return r->waiters->len;
}

uint32_t
naive_idempotency_count (const struct naive_idempotency *n)
{
  uint32_t count = 0;

  for (guint i = 0; i < n->records->len; i++)
    count += !record_at (n, i)->dropped;
  return count;
}

/* Tells whether a dropped record makes this claim too old. */
static bool
is_below_cutoff (const struct naive_idempotency *n,
                 const struct bd_idempotency_claim *c)
{
  for (guint i = 0; i < n->records->len; i++)
    {
      const struct naive_record *r = record_at (n, i);

      if (!r->dropped)
        continue;
      if (c->received_handover)
        {
          if (r->claim.received_handover
              && c->received_handover->expires_wall_ms
                     <= r->received.expires_wall_ms)
            return true;
        }
      else if (c->origin == BD_KEY_ISSUED)
        {
          if (r->claim.origin == BD_KEY_ISSUED && !r->claim.received_handover
              && c->expires_wall_ms <= r->claim.expires_wall_ms)
            return true;
        }
      else if (r->claim.origin == BD_KEY_TIME_ORDERED
               && c->key_wall_ms <= r->claim.key_wall_ms)
        return true;
    }
  return false;
}

static int
sealed_error (const struct naive_idempotency *n, int64_t wall_ms,
              int64_t max_left_ms, uint64_t incarnation, int64_t expires,
              const struct bd_idempotency_claim *c)
{
  if (incarnation != n->settings.incarnation)
    return BD_ERR_OUTCOME_UNKNOWN;
  if (expires <= wall_ms || is_below_cutoff (n, c))
    return BD_ERR_KEY_EXPIRED;
  if (c->received_handover
      && (c->received_handover->hops == 0
          || c->received_handover->hops > BD_HANDOVER_MAX_HOPS))
    return BD_ERR_KEY_INVALID;
  return expires - wall_ms > max_left_ms ? BD_ERR_KEY_INVALID : BD_OK;
}

static int
new_error (const struct naive_idempotency *n, int64_t now_ms, int64_t wall_ms,
           const struct bd_idempotency_claim *c)
{
  int64_t confirm = n->settings.confirm_window_ms;
  int64_t skew = n->settings.clock_skew_ms;
  int64_t since
      = MAX (n->settings.started_wall_ms, n->home_since_wall_ms + confirm);

  if (c->retry_window_ms < 1
      || c->retry_window_ms > BD_IDEMPOTENCY_MAX_KEEP_MS)
    return BD_ERR_INVALID;
  if (c->received_handover)
    return sealed_error (n, wall_ms, 2 * BD_IDEMPOTENCY_MAX_KEEP_MS,
                         c->received_handover->successor_incarnation,
                         c->received_handover->expires_wall_ms, c);
  if (c->origin == BD_KEY_ISSUED)
    return sealed_error (n, wall_ms, BD_IDEMPOTENCY_MAX_KEEP_MS,
                         c->incarnation, c->expires_wall_ms, c);
  if (confirm != 0 && now_ms - n->confirmed_ms > confirm)
    return BD_ERR_OUTCOME_UNKNOWN;
  if (c->origin == BD_KEY_OPAQUE)
    return wall_ms > since + c->retry_window_ms ? BD_OK
                                                : BD_ERR_OUTCOME_UNKNOWN;
  if (c->key_wall_ms - wall_ms > skew)
    return BD_ERR_KEY_INVALID;
  if (c->key_wall_ms - since <= 2 * skew || is_below_cutoff (n, c))
    return BD_ERR_OUTCOME_UNKNOWN;
  return BD_OK;
}

static void
refuse (struct bd_idempotency_answer *a, int error, enum bd_ran ran)
{
  a->verdict = BD_IDEMPOTENCY_REFUSE;
  a->error = error;
  a->ran = ran;
}

static void
claim_existing (struct naive_record *r, const struct bd_idempotency_claim *c,
                struct bd_idempotency_answer *a)
{
  static const struct
  {
    int error;
    enum bd_ran ran;
  } refusals[]
      = { [NAIVE_RAN] = { BD_ERR_ALREADY_RAN, BD_RAN_YES },
          [NAIVE_UNKNOWN] = { BD_ERR_OUTCOME_UNKNOWN, BD_RAN_UNKNOWN },
          [NAIVE_ENDED] = { BD_ERR_KEY_ENDED, BD_RAN_NO },
          [NAIVE_HANDED_OVER] = { BD_ERR_STALE, BD_RAN_UNKNOWN } };

  if (c->fingerprint != r->claim.fingerprint)
    refuse (a, BD_ERR_KEY_MISMATCH, BD_RAN_NO);
  else if (r->state == NAIVE_RECORDED)
    {
      a->verdict = BD_IDEMPOTENCY_REPLAY;
      a->status = r->status;
      a->recorded = (struct bd_chunk){ r->answer->str, r->answer->len };
      a->content_type
          = (struct bd_chunk){ r->content_type->str, r->content_type->len };
    }
  else if (r->state > NAIVE_RUNNING)
    {
      refuse (a, refusals[r->state].error, refusals[r->state].ran);
      if (r->state == NAIVE_HANDED_OVER)
        {
          a->issued_handover = &r->handed_over;
          a->successor = bd_chunk_of (r->handed_over.successor);
        }
    }
  else if (waiter_index (r, c->request) == r->waiters->len
           && r->waiters->len >= BD_IDEMPOTENCY_MAX_WAITERS)
    refuse (a, BD_ERR_OUTCOME_UNKNOWN, BD_RAN_UNKNOWN);
  else
    {
      if (waiter_index (r, c->request) == r->waiters->len)
        g_array_append_val (r->waiters, c->request);
      a->verdict = BD_IDEMPOTENCY_JOIN;
      a->running = r->run_request;
    }
}

static void
record_new (struct naive_idempotency *n, int64_t now_ms, int64_t wall_ms,
            const struct bd_idempotency_claim *c)
{
  struct naive_record *r = g_new0 (struct naive_record, 1);

  r->claim = *c;
  if (c->received_handover)
    r->received = *c->received_handover;
  r->waiters = g_array_new (FALSE, FALSE, sizeof (struct bd_id));
  g_array_append_val (r->waiters, c->request);
  r->answer = g_string_new ("");
  r->content_type = g_string_new ("");
  r->run_request = c->request;
  r->claimed_ms = now_ms;
  r->claimed_wall_ms = wall_ms;
  r->finished_ms = INT64_MIN / 2;
  g_ptr_array_add (n->records, r);
}

void
naive_idempotency_claim (struct naive_idempotency *n, int64_t now_ms,
                         int64_t wall_ms, const struct bd_idempotency_claim *c,
                         struct bd_idempotency_answer *a)
{
  struct naive_record *r = find (n, c->key);
  int error;

  memset (a, 0, sizeof *a);
  if (c->received_handover
      && (c->received_handover->fingerprint != c->fingerprint
          || !bd_id_equal (c->received_handover->key.id, c->key.id)))
    {
      refuse (a, BD_ERR_KEY_MISMATCH, BD_RAN_UNKNOWN);
      return;
    }
  if (r)
    {
      claim_existing (r, c, a);
      return;
    }
  error = new_error (n, now_ms, wall_ms, c);
  if (error == BD_OK && naive_idempotency_count (n) >= n->settings.max_records)
    error = BD_ERR_FULL;
  if (error == BD_OK)
    record_new (n, now_ms, wall_ms, c);
  else
    refuse (a, error, BD_RAN_UNKNOWN);
}

static int64_t
start_before_ms (const struct naive_record *r)
{
  int64_t until = r->claimed_ms + r->claim.retry_window_ms;

  if (r->claim.received_handover)
    until = MIN (until, r->claimed_ms + r->received.expires_wall_ms
                            - r->claimed_wall_ms);
  return until;
}

static int64_t
expires_ms (const struct naive_idempotency *n, const struct naive_record *r)
{
  int64_t keep = r->claim.retry_window_ms;

  if (r->claim.received_handover)
    keep = MAX (keep, r->received.expires_wall_ms - r->claimed_wall_ms);
  else if (r->claim.origin == BD_KEY_ISSUED)
    keep = MAX (keep, r->claim.expires_wall_ms - r->claimed_wall_ms);
  return MAX (r->claimed_ms + keep + n->settings.clock_skew_ms,
              r->finished_ms + r->claim.retry_window_ms);
}

bool
naive_idempotency_start (struct naive_idempotency *n, int64_t now_ms,
                         struct bd_key key, struct bd_id request)
{
  struct naive_record *r = find (n, key);

  if (!r || r->state != NAIVE_QUEUED || start_before_ms (r) <= now_ms)
    return false;
  if (waiter_index (r, request) == r->waiters->len
      && !bd_id_equal (request, r->run_request))
    return false;
  r->state = NAIVE_RUNNING;
  r->run_request = request;
  return true;
}

int
naive_idempotency_withdraw (struct naive_idempotency *n, struct bd_key key,
                            struct bd_id request)
{
  struct naive_record *r = find (n, key);

  if (r && r->state <= NAIVE_RUNNING
      && waiter_index (r, request) < r->waiters->len)
    {
      g_array_remove_index (r->waiters, waiter_index (r, request));
      if (r->state == NAIVE_QUEUED && r->waiters->len == 0)
        r->state = NAIVE_ENDED;
    }
  return r && r->state == NAIVE_ENDED ? BD_OK : BD_ERR_OUTCOME_UNKNOWN;
}

int
naive_idempotency_hand_over (struct naive_idempotency *n, int64_t now_ms,
                             int64_t wall_ms, struct bd_key key,
                             struct bd_chunk successor, uint64_t incarnation,
                             const struct bd_handover **out)
{
  static const int errors[] = { [NAIVE_RUNNING] = BD_ERR_OUTCOME_UNKNOWN,
                                [NAIVE_RECORDED] = BD_ERR_ALREADY_RAN,
                                [NAIVE_RAN] = BD_ERR_ALREADY_RAN,
                                [NAIVE_UNKNOWN] = BD_ERR_OUTCOME_UNKNOWN,
                                [NAIVE_ENDED] = BD_ERR_KEY_ENDED };
  struct naive_record *r = find (n, key);

  *out = NULL;
  if (!r)
    return BD_ERR_NOT_FOUND;
  if (r->state != NAIVE_HANDED_OVER)
    {
      if (r->state != NAIVE_QUEUED)
        return errors[r->state];
      if (start_before_ms (r) <= now_ms)
        return BD_ERR_KEY_EXPIRED;
      if (r->received.hops >= BD_HANDOVER_MAX_HOPS)
        return BD_ERR_FULL;
      if (successor.length < 1 || successor.length > BD_IDEMPOTENCY_NAME_BYTES
          || incarnation == n->settings.incarnation
          || (r->claim.received_handover
              && incarnation == r->received.from_incarnation))
        return BD_ERR_INVALID;
      r->handed_over.key = key;
      r->handed_over.fingerprint = r->claim.fingerprint;
      memcpy (r->handed_over.successor, successor.data, successor.length);
      r->handed_over.successor_incarnation = incarnation;
      r->handed_over.from_incarnation = n->settings.incarnation;
      r->handed_over.hops = r->received.hops + 1;
      r->handed_over.expires_wall_ms = wall_ms + start_before_ms (r) - now_ms;
      r->state = NAIVE_HANDED_OVER;
    }
  *out = &r->handed_over;
  return BD_OK;
}

void
naive_idempotency_finish (struct naive_idempotency *n, int64_t now_ms,
                          struct bd_key key, int error, int status,
                          struct bd_chunk content_type, struct bd_chunk answer)
{
  struct naive_record *r = find (n, key);
  uint64_t bytes = content_type.length + answer.length;

  if (!r || r->state != NAIVE_RUNNING)
    return;
  r->finished_ms = now_ms;
  r->state = NAIVE_UNKNOWN;
  if (error == BD_OK || error == BD_ERR_ALREADY_RAN)
    r->state = NAIVE_RAN;
  for (guint i = 0; i < n->records->len; i++)
    if (!record_at (n, i)->dropped)
      bytes += record_at (n, i)->answer->len
               + record_at (n, i)->content_type->len;
  if (error != BD_OK || bytes > n->settings.max_answer_bytes)
    return;
  r->state = NAIVE_RECORDED;
  r->status = status;
  g_string_append_len (r->answer, answer.data, (gssize)answer.length);
  g_string_append_len (r->content_type, content_type.data,
                       (gssize)content_type.length);
}

void
naive_idempotency_undo_start (struct naive_idempotency *n, struct bd_key key,
                              struct bd_id request)
{
  struct naive_record *r = find (n, key);

  if (r && r->state == NAIVE_RUNNING && bd_id_equal (r->run_request, request))
    r->state = r->waiters->len > 0 ? NAIVE_QUEUED : NAIVE_ENDED;
}

void
naive_idempotency_tick (struct naive_idempotency *n, int64_t now_ms)
{
  for (guint i = 0; i < n->records->len; i++)
    {
      struct naive_record *r = record_at (n, i);

      if (r->state != NAIVE_RUNNING && expires_ms (n, r) <= now_ms)
        r->dropped = true;
    }
}

bool
naive_idempotency_bill_once (struct naive_idempotency *n, struct bd_key key)
{
  struct naive_record *r = find (n, key);
  bool first = r && (r->state == NAIVE_RECORDED || r->state == NAIVE_RAN)
               && !r->billed;

  if (first)
    r->billed = true;
  return first;
}
