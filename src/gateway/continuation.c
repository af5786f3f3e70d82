#include "gateway/forward_internal.h"

#include "balance/pause.h"
#include "common/clock.h"
#include "common/log.h"

/* Interval at which a request asks again which version began its stream, or
   for a runner of that version, and how long it asks at most. */
#define ORIGIN_CHECK_MS 50
#define ORIGIN_WAIT_MAX_MS 1500
/* For this long only the coordinator is asked, which may just have ended;
   after that this instance finds out by itself if no coordinator answers. */
#define ORIGIN_COORDINATOR_MS 150
/* How long the origin of a stream is kept at least: callers may not say until
   when they continue it. */
#define ORIGIN_KEEP_MIN_MS 30000

static struct bd_chunk
workspace_name (const struct bd_forward *f)
{
  return f->workspace ? f->workspace->name : (struct bd_chunk){ NULL, 0 };
}

bool
bd_forward_is_continuation (const struct bd_route *route,
                            const struct bd_request_fields *fields)
{
  return route->retry_class == BD_RETRY_STREAM && route->resumable
         && fields->last_event_id.length > 0;
}

void
bd_forward_init_continuation (struct bd_forward *f)
{
  const struct bd_request_fields *fields = &f->request_fields;

  f->own_stream = bd_stream_number (fields->attempt_id, workspace_name (f));
  f->continues = bd_forward_is_continuation (f->route, fields);
  if (!f->continues)
    return;
  f->continued_stream
      = bd_stream_number (fields->origin_id, workspace_name (f));
  f->stream_software = bd_stream_origins_find (
      f->forwarder->options.origins, f->continued_stream, bd_clock_boot_ms ());
}

void
bd_forward_fill_continuation (const struct bd_forward *f,
                              struct bd_coordination_query *query)
{
  query->software = f->stream_software;
  query->continues = f->continues;
  query->stream = f->continued_stream;
  query->own_part = f->request_fields.own_part;
  query->waited_ms = bd_forward_elapsed_ms (f);
}

static void
on_check (uv_timer_t *timer)
{
  bd_forward_next_attempt (timer->data);
}

/* Asks again later, unless the request has waited for too long.  Returns
   whether it waits. */
static bool
ask_again_later (struct bd_forward *f)
{
  int64_t left_ms = f->deadline_ms - bd_clock_boot_ms ();
  int64_t waited_ms = bd_forward_elapsed_ms (f);

  if (waited_ms >= ORIGIN_WAIT_MAX_MS || waited_ms >= left_ms)
    return false;
  uv_timer_start (&f->attempt_timer, on_check, ORIGIN_CHECK_MS, 0);
  return true;
}

static void
refuse (struct bd_forward *f)
{
  char id[BD_FORWARD_ID_BYTES];
  char origin[BD_FORWARD_ID_BYTES];

  bd_log (BD_EVENT_STREAM_NOT_CONTINUED,
          "request=%s origin=%s route=%s reason=%s by=%08x ms=%lld",
          bd_log_quote (f->request_fields.attempt_id, id, sizeof id),
          bd_log_quote (f->request_fields.origin_id, origin, sizeof origin),
          f->route->name.data,
          f->stream_software == BD_SOFTWARE_UNCERTAIN ? "uncertain"
                                                      : "unknown",
          ntohl (f->registration.coordinator_ip),
          (long long)bd_forward_elapsed_ms (f));
  f->stop_reason = BD_STOP_SOFTWARE;
  if (f->may_have_run)
    bd_forward_fail (f, BD_ERR_OUTCOME_UNKNOWN);
  else
    {
      bd_forward_refuse (f->forwarder, f->exchange, &f->request_fields,
                         BD_ERR_ORIGIN_UNKNOWN);
      bd_forward_free (f);
    }
}

/* Finds out without the coordinator which version began the stream. */
static enum bd_coordination_verdict
find_here (struct bd_forward *f)
{
  struct bd_coordination_query query = { .service = f->service };
  struct bd_found_origin found;

  if (f->registration.coordinator_ip != 0
      && bd_forward_elapsed_ms (f) < ORIGIN_COORDINATOR_MS)
    return BD_COORDINATION_ORIGIN_PENDING;
  bd_forward_fill_continuation (f, &query);
  found = bd_coordinator_client_find_origin (
      f->forwarder->options.coordinator_client, &query);
  if (found.verdict != BD_COORDINATION_PLACED)
    return found.verdict;
  f->stream_software = found.software;
  f->origin_confirmed = found.confirmed;
  f->holder = found.holder;
  return BD_COORDINATION_PLACED;
}

/* Tells peers which version began STREAM; 0: none. */
static void
tell (struct bd_forward *f, uint64_t stream)
{
  int64_t left_ms = f->deadline_ms - bd_clock_boot_ms ();
  struct bd_origin_notice notice
      = { stream, f->stream_software, ORIGIN_KEEP_MIN_MS };

  if (notice.keep_ms < left_ms)
    notice.keep_ms = left_ms;
  if (notice.keep_ms > BD_ORIGIN_KEEP_MAX_MS)
    notice.keep_ms = BD_ORIGIN_KEEP_MAX_MS;
  if (stream != 0)
    bd_origin_outbox_tell (f->forwarder->options.origin_outbox,
                           f->registration.shard_key, &notice);
}

/* Adopts what the coordinator's REPLY says of the origin, and tells it on:
   those that knew it may have ended when the caller tries again.  Returns its
   verdict. */
static enum bd_coordination_verdict
adopt_reply (struct bd_forward *f, const struct bd_coordination_reply *reply)
{
  if (reply->software != BD_SOFTWARE_ANY)
    {
      f->stream_software = reply->software;
      f->origin_confirmed = !reply->unconfirmed;
      f->holder = reply->unconfirmed ? reply->target : 0;
      if (f->origin_confirmed)
        tell (f, f->continued_stream);
      return BD_COORDINATION_PLACED;
    }
  if (reply->verdict == BD_COORDINATION_ORIGIN_PENDING
      || reply->verdict == BD_COORDINATION_ORIGIN_UNKNOWN)
    return reply->verdict;
  /* An instance of an older version does not know of origins. */
  return find_here (f);
}

bool
bd_forward_origin_is_known (struct bd_forward *f,
                            const struct bd_coordination_reply *reply)
{
  enum bd_coordination_verdict verdict;

  if (!f->continues || f->head_sent)
    return true;
  if (f->stream_software == BD_SOFTWARE_UNCERTAIN)
    verdict = BD_COORDINATION_ORIGIN_UNKNOWN;
  else if (f->stream_software != BD_SOFTWARE_ANY)
    return true;
  else
    verdict = reply ? adopt_reply (f, reply) : find_here (f);
  if (verdict == BD_COORDINATION_PLACED)
    return true;
  if (verdict == BD_COORDINATION_ORIGIN_UNKNOWN || !ask_again_later (f))
    refuse (f);
  return false;
}

bool
bd_forward_retry_without_holder (struct bd_forward *f)
{
  if (f->holder == 0)
    return false;
  f->holder = 0;
  if (f->origin_confirmed)
    bd_forward_next_attempt (f);
  else
    {
      f->stream_software = BD_SOFTWARE_ANY;
      if (!ask_again_later (f))
        refuse (f);
    }
  return true;
}

static bool
was_tried (const struct bd_forward *f, const struct bd_target *target)
{
  for (size_t i = 0; i < f->tried_count; i++)
    if (f->tried[i] == (uint32_t)target->hash)
      return true;
  return false;
}

/* Returns whether a runner of the stream's version that was not tried yet
   limits its requests, so that it takes another one soon. */
static bool
version_is_limited (const struct bd_forward *f)
{
  int64_t now = f->selection_request.now_ms;
  size_t count;
  struct bd_target *const *all = bd_targets_of_service (
      f->forwarder->options.targets, f->service, &count);

  for (size_t i = 0; i < count; i++)
    if (all[i]->software.hash == f->stream_software
        && bd_target_usable (all[i]) && bd_pause_allows (all[i], now)
        && bd_runner_limit_rate (all[i], now) != 0 && !was_tried (f, all[i]))
      return true;
  return false;
}

bool
bd_forward_wait_for_version (struct bd_forward *f)
{
  return f->continues && !f->head_sent && version_is_limited (f)
         && ask_again_later (f);
}

void
bd_forward_log_continued (const struct bd_forward *f,
                          const struct bd_target *target)
{
  char id[BD_FORWARD_ID_BYTES];
  char origin[BD_FORWARD_ID_BYTES];
  char event[BD_FORWARD_ID_BYTES];

  if (!f->continues)
    return;
  bd_stats_count (f->forwarder->options.stats, BD_STAT_CONTINUED, 1);
  bd_log (BD_EVENT_STREAM_CONTINUED,
          "request=%s origin=%s after=%s runner=%s software=%s",
          bd_log_quote (f->request_fields.attempt_id, id, sizeof id),
          bd_log_quote (f->request_fields.origin_id, origin, sizeof origin),
          bd_log_quote (f->request_fields.last_event_id, event, sizeof event),
          target->id.data, bd_software_name (&target->software));
}

void
bd_forward_tell_origin (struct bd_forward *f)
{
  f->origin_told = true;
  tell (f, f->own_stream);
  tell (f, f->continued_stream);
}

/* If the runner's entry has changed to another version since the request was
   sent, either may have answered. */
void
bd_forward_stream_begins (struct bd_forward *f)
{
  f->origin_confirmed = true;
  if (f->stream_software == BD_SOFTWARE_ANY)
    f->stream_software = f->target->software.hash == f->target_software
                             ? f->target_software
                             : BD_SOFTWARE_UNCERTAIN;
  if (!f->origin_told && f->route->resumable)
    bd_forward_tell_origin (f);
}

/* The attempt did not confirm the version of the stream that it was to
   continue.  If another process has the holder's address, that one listed the
   prompt. */
static void
drop_unconfirmed (struct bd_forward *f)
{
  f->holder = 0;
  f->stream_software = f->response_fields.misdirected ? BD_SOFTWARE_UNCERTAIN
                                                      : BD_SOFTWARE_ANY;
}

void
bd_forward_check_software (struct bd_forward *f)
{
  if (f->continues && !f->origin_confirmed)
    drop_unconfirmed (f);
  if (f->first_event_at_ms == 0
      || f->target->software.hash == f->target_software
      || f->stream_software == BD_SOFTWARE_UNCERTAIN)
    return;
  f->stream_software = BD_SOFTWARE_UNCERTAIN;
  if (f->origin_told)
    bd_forward_tell_origin (f);
}
