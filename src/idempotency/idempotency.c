#include "idempotency/idempotency.h"

#include "common/map.h"
#include "common/string.h"
#include "idempotency/admission.h"

#include <stdlib.h>
#include <string.h>

#define NONE UINT32_MAX

enum record_state
{
  STATE_FREE = 0,
  STATE_QUEUED,
  STATE_RUNNING,
  STATE_RECORDED,   /* Completed; the answer is stored. */
  STATE_RAN,        /* Completed; the answer is not stored. */
  STATE_UNKNOWN,    /* May have run. */
  STATE_ENDED,      /* Did not run and never will. */
  STATE_HANDED_OVER /* A successor owns the key. */
};

struct record
{
  struct bd_key key;
  enum record_state state;
  uint32_t next_free; /* Index of the next record in the list of free ones. */
  enum bd_key_origin origin;
  uint64_t fingerprint;
  struct bd_id run_request; /* First claimant, then the one that started. */
  struct bd_id waiters[BD_IDEMPOTENCY_MAX_WAITERS];
  uint32_t waiter_count;
  int64_t retry_window_ms;
  int64_t expires_ms;
  int64_t start_before_ms; /* The run must start before this time. */
  int64_t key_wall_ms;     /* Creation time of a time-ordered key. */
  int64_t expires_wall_ms; /* Expiry of an issued key. */
  uint32_t hops;           /* Number of handovers up to this owner. */
  uint64_t from_incarnation;
  int64_t received_expires_wall_ms;   /* Expiry of the received handover. */
  struct bd_handover issued_handover; /* Set in STATE_HANDED_OVER. */
  uint32_t tokens;
  bool billed;
  int status;
  char *content_type;
  size_t content_type_length;
  char *answer;
  size_t answer_length;
};

struct bd_idempotency
{
  struct bd_idempotency_settings settings;
  struct bd_admission admission;
  uint64_t answer_bytes;
  uint32_t count;
  uint32_t high_water; /* Number of records ever used. */
  uint32_t free_list;
  struct record *records;
  struct bd_map *by_key;
};

struct bd_idempotency *
bd_idempotency_create (const struct bd_idempotency_settings *settings)
{
  struct bd_idempotency *idempotency = calloc (1, sizeof *idempotency);

  if (!idempotency)
    return NULL;
  idempotency->settings = *settings;
  bd_admission_init (&idempotency->admission, settings->started_wall_ms);
  idempotency->free_list = NONE;
  idempotency->records
      = calloc (settings->max_records + 1ULL, sizeof *idempotency->records);
  idempotency->by_key = bd_map_create ();
  if (!idempotency->records || !idempotency->by_key)
    {
      bd_idempotency_destroy (idempotency);
      return NULL;
    }
  return idempotency;
}

static void
drop_answer (struct bd_idempotency *idempotency, struct record *r)
{
  idempotency->answer_bytes -= r->answer_length + r->content_type_length;
  free (r->answer);
  free (r->content_type);
  r->answer = NULL;
  r->content_type = NULL;
  r->answer_length = 0;
  r->content_type_length = 0;
}

void
bd_idempotency_destroy (struct bd_idempotency *idempotency)
{
  if (!idempotency)
    return;
  for (uint32_t i = 0; idempotency->records && i < idempotency->high_water;
       i++)
    drop_answer (idempotency, &idempotency->records[i]);
  bd_map_destroy (idempotency->by_key);
  free (idempotency->records);
  free (idempotency);
}

void
bd_idempotency_set_home_since (struct bd_idempotency *idempotency,
                               int64_t wall_ms)
{
  if (wall_ms > idempotency->admission.home_since_wall_ms)
    idempotency->admission.home_since_wall_ms = wall_ms;
}

void
bd_idempotency_confirm_configuration (struct bd_idempotency *idempotency,
                                      int64_t now_ms)
{
  if (!idempotency->admission.confirmed
      || now_ms > idempotency->admission.confirmed_ms)
    idempotency->admission.confirmed_ms = now_ms;
  idempotency->admission.confirmed = true;
}

uint32_t
bd_idempotency_count (const struct bd_idempotency *idempotency)
{
  return idempotency->count;
}

static struct record *
record_find (const struct bd_idempotency *idempotency, struct bd_key key)
{
  return bd_map_get (idempotency->by_key, key.id, 0);
}

static struct record *
record_add (struct bd_idempotency *idempotency, struct bd_key key)
{
  uint32_t i = idempotency->free_list != NONE ? idempotency->free_list
                                              : idempotency->high_water;
  struct record *r = &idempotency->records[i];

  if (idempotency->count >= idempotency->settings.max_records
      || bd_map_put (idempotency->by_key, key.id, 0, r) != BD_OK)
    return NULL;
  if (i == idempotency->high_water)
    idempotency->high_water++;
  else
    idempotency->free_list = r->next_free;
  memset (r, 0, sizeof *r);
  r->key = key;
  idempotency->count++;
  return r;
}

static int64_t
max_time (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Raises the cutoffs so that the key of the dropped record is not accepted
   again. */
static void
raise_cutoffs (struct bd_admission *a, const struct record *r)
{
  if (r->hops > 0)
    a->handover_cutoff_wall_ms
        = max_time (a->handover_cutoff_wall_ms, r->received_expires_wall_ms);
  else if (r->origin == BD_KEY_ISSUED)
    a->issued_cutoff_wall_ms
        = max_time (a->issued_cutoff_wall_ms, r->expires_wall_ms);
  if (r->origin == BD_KEY_TIME_ORDERED)
    a->time_ordered_cutoff_wall_ms
        = max_time (a->time_ordered_cutoff_wall_ms, r->key_wall_ms);
}

static void
record_drop (struct bd_idempotency *idempotency, struct record *r)
{
  raise_cutoffs (&idempotency->admission, r);
  drop_answer (idempotency, r);
  bd_map_remove (idempotency->by_key, r->key.id, 0);
  r->state = STATE_FREE;
  r->next_free = idempotency->free_list;
  idempotency->free_list = (uint32_t)(r - idempotency->records);
  idempotency->count--;
}

void
bd_idempotency_tick (struct bd_idempotency *idempotency, int64_t now_ms)
{
  for (uint32_t i = 0; i < idempotency->high_water; i++)
    {
      struct record *r = &idempotency->records[i];

      if (r->state != STATE_FREE && r->state != STATE_RUNNING
          && r->expires_ms <= now_ms)
        record_drop (idempotency, r);
    }
}

static void
refuse_claim (struct bd_idempotency_answer *answer, int error, enum bd_ran ran)
{
  answer->verdict = BD_IDEMPOTENCY_REFUSE;
  answer->error = error;
  answer->ran = ran;
}

static void
record_set_expiry (struct bd_idempotency *idempotency, struct record *r,
                   int64_t now_ms, int64_t wall_ms,
                   const struct bd_idempotency_claim *claim)
{
  int64_t keep_ms = claim->retry_window_ms;

  r->start_before_ms = now_ms + keep_ms;
  if (claim->origin == BD_KEY_ISSUED && !claim->received_handover)
    keep_ms = max_time (keep_ms, claim->expires_wall_ms - wall_ms);
  if (claim->received_handover)
    {
      int64_t left_ms = claim->received_handover->expires_wall_ms - wall_ms;

      r->hops = claim->received_handover->hops;
      r->from_incarnation = claim->received_handover->from_incarnation;
      r->received_expires_wall_ms = claim->received_handover->expires_wall_ms;
      if (now_ms + left_ms < r->start_before_ms)
        r->start_before_ms = now_ms + left_ms;
      keep_ms = max_time (keep_ms, left_ms);
    }
  r->retry_window_ms = claim->retry_window_ms;
  r->expires_ms = now_ms + keep_ms + idempotency->settings.clock_skew_ms;
}

static void
claim_new (struct bd_idempotency *idempotency, int64_t now_ms, int64_t wall_ms,
           const struct bd_idempotency_claim *claim,
           struct bd_idempotency_answer *answer)
{
  int error = bd_admission_check (
      &idempotency->admission, &idempotency->settings, now_ms, wall_ms, claim);
  struct record *r;

  if (error != BD_OK)
    {
      refuse_claim (answer, error, BD_RAN_UNKNOWN);
      return;
    }
  r = record_add (idempotency, claim->key);
  if (!r)
    {
      refuse_claim (answer, BD_ERR_FULL, BD_RAN_UNKNOWN);
      return;
    }
  r->state = STATE_QUEUED;
  r->origin = claim->origin;
  r->fingerprint = claim->fingerprint;
  r->run_request = claim->request;
  r->waiters[0] = claim->request;
  r->waiter_count = 1;
  r->key_wall_ms = claim->key_wall_ms;
  r->expires_wall_ms = claim->expires_wall_ms;
  record_set_expiry (idempotency, r, now_ms, wall_ms, claim);
  answer->verdict = BD_IDEMPOTENCY_RUN;
}

static uint32_t
waiter_find (const struct record *r, struct bd_id request)
{
  uint32_t i = 0;

  while (i < r->waiter_count && !bd_id_equal (r->waiters[i], request))
    i++;
  return i;
}

static void
claim_join (struct record *r, const struct bd_idempotency_claim *claim,
            struct bd_idempotency_answer *answer)
{
  if (waiter_find (r, claim->request) == r->waiter_count)
    {
      if (r->waiter_count == BD_IDEMPOTENCY_MAX_WAITERS)
        {
          refuse_claim (answer, BD_ERR_OUTCOME_UNKNOWN, BD_RAN_UNKNOWN);
          return;
        }
      r->waiters[r->waiter_count++] = claim->request;
    }
  answer->verdict = BD_IDEMPOTENCY_JOIN;
  answer->running = r->run_request;
}

static void
claim_replay (const struct record *r, struct bd_idempotency_answer *answer)
{
  answer->verdict = BD_IDEMPOTENCY_REPLAY;
  answer->status = r->status;
  answer->recorded = (struct bd_chunk){ r->answer, r->answer_length };
  answer->content_type
      = (struct bd_chunk){ r->content_type, r->content_type_length };
}

static void
claim_existing (struct record *r, const struct bd_idempotency_claim *claim,
                struct bd_idempotency_answer *answer)
{
  if (claim->fingerprint != r->fingerprint)
    {
      refuse_claim (answer, BD_ERR_KEY_MISMATCH, BD_RAN_NO);
      return;
    }
  switch (r->state)
    {
    case STATE_QUEUED:
    case STATE_RUNNING:
      claim_join (r, claim, answer);
      return;
    case STATE_RECORDED:
      claim_replay (r, answer);
      return;
    case STATE_RAN:
      refuse_claim (answer, BD_ERR_ALREADY_RAN, BD_RAN_YES);
      return;
    case STATE_ENDED:
      refuse_claim (answer, BD_ERR_KEY_ENDED, BD_RAN_NO);
      return;
    case STATE_HANDED_OVER:
      refuse_claim (answer, BD_ERR_STALE, BD_RAN_UNKNOWN);
      answer->issued_handover = &r->issued_handover;
      answer->successor = bd_chunk_of (r->issued_handover.successor);
      return;
    case STATE_UNKNOWN:
    case STATE_FREE:
      break;
    }
  refuse_claim (answer, BD_ERR_OUTCOME_UNKNOWN, BD_RAN_UNKNOWN);
}

void
bd_idempotency_claim (struct bd_idempotency *idempotency, int64_t now_ms,
                      int64_t wall_ms,
                      const struct bd_idempotency_claim *claim,
                      struct bd_idempotency_answer *answer)
{
  struct record *r = record_find (idempotency, claim->key);

  memset (answer, 0, sizeof *answer);
  if (claim->received_handover
      && (!bd_id_equal (claim->received_handover->key.id, claim->key.id)
          || claim->received_handover->fingerprint != claim->fingerprint))
    refuse_claim (answer, BD_ERR_KEY_MISMATCH, BD_RAN_UNKNOWN);
  else if (r)
    claim_existing (r, claim, answer);
  else
    claim_new (idempotency, now_ms, wall_ms, claim, answer);
}

bool
bd_idempotency_start (struct bd_idempotency *idempotency, int64_t now_ms,
                      struct bd_key key, struct bd_id request)
{
  struct record *r = record_find (idempotency, key);

  if (!r || r->state != STATE_QUEUED || now_ms >= r->start_before_ms)
    return false;
  if (!bd_id_equal (r->run_request, request)
      && waiter_find (r, request) == r->waiter_count)
    return false;
  r->run_request = request;
  r->state = STATE_RUNNING;
  return true;
}

static int
withdraw_error (const struct record *r)
{
  if (r->state == STATE_ENDED)
    return BD_OK;
  return BD_ERR_OUTCOME_UNKNOWN;
}

int
bd_idempotency_withdraw (struct bd_idempotency *idempotency, int64_t now_ms,
                         struct bd_key key, struct bd_id request)
{
  struct record *r = record_find (idempotency, key);
  uint32_t i;

  (void)now_ms;
  if (!r)
    return BD_ERR_OUTCOME_UNKNOWN;
  if (r->state != STATE_QUEUED && r->state != STATE_RUNNING)
    return withdraw_error (r);
  i = waiter_find (r, request);
  if (i == r->waiter_count)
    return BD_ERR_OUTCOME_UNKNOWN;
  r->waiters[i] = r->waiters[--r->waiter_count];
  if (r->state == STATE_RUNNING || r->waiter_count > 0)
    return BD_ERR_OUTCOME_UNKNOWN;
  r->state = STATE_ENDED;
  return BD_OK;
}

static int
hand_over_error (const struct record *r, int64_t now_ms)
{
  switch (r->state)
    {
    case STATE_ENDED:
      return BD_ERR_KEY_ENDED;
    case STATE_RECORDED:
    case STATE_RAN:
      return BD_ERR_ALREADY_RAN;
    case STATE_QUEUED:
      break;
    default:
      return BD_ERR_OUTCOME_UNKNOWN;
    }
  if (now_ms >= r->start_before_ms)
    return BD_ERR_KEY_EXPIRED;
  return r->hops >= BD_HANDOVER_MAX_HOPS ? BD_ERR_FULL : BD_OK;
}

static void
fill_handover (const struct bd_idempotency *idempotency, struct record *r,
               struct bd_chunk successor, uint64_t incarnation,
               int64_t expires_wall_ms)
{
  struct bd_handover *h = &r->issued_handover;

  h->key = r->key;
  h->fingerprint = r->fingerprint;
  memcpy (h->successor, successor.data, successor.length);
  h->successor_incarnation = incarnation;
  h->from_incarnation = idempotency->settings.incarnation;
  h->hops = r->hops + 1;
  h->expires_wall_ms = expires_wall_ms;
}

int
bd_idempotency_hand_over (struct bd_idempotency *idempotency, int64_t now_ms,
                          int64_t wall_ms, struct bd_key key,
                          struct bd_chunk successor, uint64_t incarnation,
                          const struct bd_handover **out)
{
  struct record *r = record_find (idempotency, key);
  int rc;

  *out = NULL;
  if (!r)
    return BD_ERR_NOT_FOUND;
  if (r->state == STATE_HANDED_OVER)
    {
      *out = &r->issued_handover;
      return BD_OK;
    }
  rc = hand_over_error (r, now_ms);
  if (rc != BD_OK)
    return rc;
  if (successor.length == 0 || successor.length > BD_IDEMPOTENCY_NAME_BYTES
      || incarnation == idempotency->settings.incarnation
      || (r->hops > 0 && incarnation == r->from_incarnation))
    return BD_ERR_INVALID;
  fill_handover (idempotency, r, successor, incarnation,
                 wall_ms + (r->start_before_ms - now_ms));
  r->state = STATE_HANDED_OVER;
  r->waiter_count = 0;
  *out = &r->issued_handover;
  return BD_OK;
}

static bool
store_answer (struct bd_idempotency *idempotency, struct record *r,
              struct bd_chunk content_type, struct bd_chunk answer)
{
  uint64_t room
      = idempotency->settings.max_answer_bytes - idempotency->answer_bytes;

  if (answer.length > room || content_type.length > room - answer.length)
    return false;
  r->answer = bd_chunk_copy (answer);
  r->content_type = bd_chunk_copy (content_type);
  if (r->answer && r->content_type)
    {
      r->answer_length = answer.length;
      r->content_type_length = content_type.length;
      idempotency->answer_bytes += answer.length + content_type.length;
      return true;
    }
  free (r->answer);
  free (r->content_type);
  r->answer = NULL;
  r->content_type = NULL;
  return false;
}

void
bd_idempotency_finish (struct bd_idempotency *idempotency, int64_t now_ms,
                       struct bd_key key, int error, int status,
                       struct bd_chunk content_type, struct bd_chunk answer)
{
  struct record *r = record_find (idempotency, key);

  if (!r || r->state != STATE_RUNNING)
    return;
  r->expires_ms = max_time (r->expires_ms, now_ms + r->retry_window_ms);
  r->waiter_count = 0;
  r->status = status;
  if (error != BD_OK && error != BD_ERR_ALREADY_RAN)
    r->state = STATE_UNKNOWN;
  else if (error == BD_OK
           && store_answer (idempotency, r, content_type, answer))
    r->state = STATE_RECORDED;
  else
    r->state = STATE_RAN;
}

void
bd_idempotency_undo_start (struct bd_idempotency *idempotency, int64_t now_ms,
                           struct bd_key key, struct bd_id request)
{
  struct record *r = record_find (idempotency, key);

  (void)now_ms;
  if (!r || r->state != STATE_RUNNING
      || !bd_id_equal (r->run_request, request))
    return;
  r->state = r->waiter_count > 0 ? STATE_QUEUED : STATE_ENDED;
}

void
bd_idempotency_set_tokens (struct bd_idempotency *idempotency,
                           struct bd_key key, uint32_t tokens)
{
  struct record *r = record_find (idempotency, key);

  if (r && r->state == STATE_RUNNING)
    r->tokens = tokens;
}

bool
bd_idempotency_bill_once (struct bd_idempotency *idempotency,
                          struct bd_key key, uint32_t *tokens)
{
  struct record *r = record_find (idempotency, key);

  if (!r || r->billed || (r->state != STATE_RECORDED && r->state != STATE_RAN))
    return false;
  r->billed = true;
  *tokens = r->tokens;
  return true;
}

bool
bd_idempotency_has_record (const struct bd_idempotency *idempotency,
                           struct bd_key key)
{
  return record_find (idempotency, key) != NULL;
}
