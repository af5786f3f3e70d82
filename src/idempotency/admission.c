#include "idempotency/admission.h"

void
bd_admission_init (struct bd_admission *admission, int64_t started_wall_ms)
{
  admission->home_since_wall_ms = started_wall_ms;
  admission->confirmed = false;
  admission->confirmed_ms = 0;
  admission->issued_cutoff_wall_ms = INT64_MIN;
  admission->time_ordered_cutoff_wall_ms = INT64_MIN;
  admission->handover_cutoff_wall_ms = INT64_MIN;
}

static int64_t
max_time (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Checks an issued key without a record. */
static int
check_issued_key (const struct bd_admission *a,
                  const struct bd_idempotency_settings *settings,
                  int64_t wall_ms, const struct bd_idempotency_claim *claim)
{
  if (claim->incarnation != settings->incarnation)
    return BD_ERR_OUTCOME_UNKNOWN;
  if (claim->expires_wall_ms <= wall_ms
      || claim->expires_wall_ms <= a->issued_cutoff_wall_ms)
    return BD_ERR_KEY_EXPIRED;
  if (claim->expires_wall_ms - wall_ms > BD_IDEMPOTENCY_MAX_KEEP_MS)
    return BD_ERR_KEY_INVALID;
  return BD_OK;
}

/* Checks the handover of a key without a record. */
static int
check_handover (const struct bd_admission *a,
                const struct bd_idempotency_settings *settings,
                int64_t wall_ms, const struct bd_idempotency_claim *claim)
{
  const struct bd_handover *h = claim->received_handover;

  if (h->successor_incarnation != settings->incarnation)
    return BD_ERR_OUTCOME_UNKNOWN;
  if (h->expires_wall_ms <= wall_ms
      || h->expires_wall_ms <= a->handover_cutoff_wall_ms)
    return BD_ERR_KEY_EXPIRED;
  if (h->hops < 1 || h->hops > BD_HANDOVER_MAX_HOPS
      || h->expires_wall_ms - wall_ms > 2 * BD_IDEMPOTENCY_MAX_KEEP_MS)
    return BD_ERR_KEY_INVALID;
  return BD_OK;
}

/* Tells whether the configuration, and with it this sidecar's role as home
   runner, was confirmed recently enough. */
static bool
home_runner_confirmed (const struct bd_admission *a,
                       const struct bd_idempotency_settings *settings,
                       int64_t now_ms)
{
  if (settings->confirm_window_ms == 0)
    return true;
  return a->confirmed
         && now_ms - a->confirmed_ms <= settings->confirm_window_ms;
}

/* Checks a caller's own key without a record. */
static int
check_caller_key (const struct bd_admission *a,
                  const struct bd_idempotency_settings *settings,
                  int64_t now_ms, int64_t wall_ms,
                  const struct bd_idempotency_claim *claim)
{
  int64_t skew = settings->clock_skew_ms;
  int64_t home_wall_ms = a->home_since_wall_ms + settings->confirm_window_ms;
  int64_t owner_since_wall_ms
      = max_time (settings->started_wall_ms, home_wall_ms);

  if (!home_runner_confirmed (a, settings, now_ms))
    return BD_ERR_OUTCOME_UNKNOWN;
  if (claim->origin == BD_KEY_OPAQUE)
    return wall_ms - owner_since_wall_ms > claim->retry_window_ms
               ? BD_OK
               : BD_ERR_OUTCOME_UNKNOWN;
  if (claim->key_wall_ms > wall_ms + skew)
    return BD_ERR_KEY_INVALID;
  if (claim->key_wall_ms <= owner_since_wall_ms + 2 * skew
      || claim->key_wall_ms <= a->time_ordered_cutoff_wall_ms)
    return BD_ERR_OUTCOME_UNKNOWN;
  return BD_OK;
}

int
bd_admission_check (const struct bd_admission *admission,
                    const struct bd_idempotency_settings *settings,
                    int64_t now_ms, int64_t wall_ms,
                    const struct bd_idempotency_claim *claim)
{
  if (claim->retry_window_ms < 1
      || claim->retry_window_ms > BD_IDEMPOTENCY_MAX_KEEP_MS)
    return BD_ERR_INVALID;
  if (claim->received_handover)
    return check_handover (admission, settings, wall_ms, claim);
  if (claim->origin == BD_KEY_ISSUED)
    return check_issued_key (admission, settings, wall_ms, claim);
  return check_caller_key (admission, settings, now_ms, wall_ms, claim);
}
