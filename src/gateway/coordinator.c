#include "gateway/coordinator.h"

#include "balance/ledger.h"
#include "balance/outlier.h"
#include "balance/pause.h"
#include "common/log.h"
#include "gateway/rank.h"
#include "gateway/standby.h"
#include "common/random.h"

#include <stdlib.h>

/* Most shards that this instance coordinates at a time; it ceases to
   coordinate a shard this long after the last query. */
#define SHARDS_MAX 32
#define SHARD_IDLE_MS 5000
/* For this long after this instance becomes the coordinator of a shard, the
   loads that peers gossip count too, because requests placed earlier are not
   in the ledger. */
#define WARMUP_MS 3000
/* How long the prefix locations are taken to be complete, after this instance
   received all of them or began to ask the runners; runners are not asked
   again before. */
#define PREFIXES_VALID_MS 5000
/* How often a shard's runners are checked for several software versions. */
#define VERSIONS_CHECK_MS 1000
/* A request is removed from the ledger this long after its deadline. */
#define EXPIRY_MARGIN_MS 1000

/* Shard of a service that this instance coordinates. */
struct shard
{
  uint64_t key;
  int64_t started_ms;
  int64_t last_query_ms;
  int64_t versions_checked_ms;
  bool asked; /* The runners were asked which prefixes they hold. */
};

struct bd_coordinator
{
  struct bd_coordinator_options options;
  struct bd_mesh *mesh;
  struct bd_ledger *ledger;
  uint64_t random_state;
  struct shard shards[SHARDS_MAX];
  size_t shard_count;
  struct bd_standbys *standbys;
  /* When all prefix locations were known last; 0: never. */
  int64_t prefixes_known_ms;
  int64_t instance_lost_ms; /* When another one ended last; 0: none has. */
};

struct bd_coordinator *
bd_coordinator_create (const struct bd_coordinator_options *options)
{
  struct bd_coordinator *coordinator = calloc (1, sizeof *coordinator);

  if (!coordinator)
    return NULL;
  coordinator->options = *options;
  coordinator->random_state = bd_id_random ().low;
  coordinator->ledger = bd_ledger_create ();
  coordinator->standbys
      = bd_standbys_create (bd_selector_prefixes (options->selector));
  if (coordinator->ledger && coordinator->standbys)
    return coordinator;
  bd_coordinator_destroy (coordinator);
  return NULL;
}

void
bd_coordinator_destroy (struct bd_coordinator *coordinator)
{
  if (!coordinator)
    return;
  bd_ledger_destroy (coordinator->ledger);
  bd_standbys_destroy (coordinator->standbys);
  free (coordinator);
}

void
bd_coordinator_set_mesh (struct bd_coordinator *coordinator,
                         struct bd_mesh *mesh)
{
  coordinator->mesh = mesh;
}

uint64_t
bd_coordinator_shard_key (struct bd_chunk service, uint32_t shard)
{
  return bd_random_mix (bd_chunk_hash (service) + shard);
}

/* Shards. */

static bool
prefixes_are_known (const struct bd_coordinator *coordinator, int64_t now_ms)
{
  return coordinator->prefixes_known_ms != 0
         && now_ms - coordinator->prefixes_known_ms < PREFIXES_VALID_MS;
}

/* Asks the runners of the service of QUERY which prefixes they hold. */
static void
ask_runners (struct bd_coordinator *coordinator, struct shard *shard,
             const struct bd_coordination_query *query, int64_t now_ms)
{
  bd_inventory_query (coordinator->options.inventory, query->service, now_ms);
  coordinator->prefixes_known_ms = now_ms;
  shard->asked = true;
}

/* Called when this instance becomes the coordinator of the shard of QUERY.
   The coordinator before may just have used up the limits of the runners. Asks
   the runners which prefixes they hold, unless this is known. */
static void
start_shard (struct bd_coordinator *coordinator, struct shard *shard,
             const struct bd_coordination_query *query, int64_t now_ms)
{
  size_t count;
  struct bd_target *const *all = bd_targets_of_service (
      coordinator->options.targets, query->service, &count);

  for (size_t i = 0; i < count; i++)
    bd_runner_limit_begin (all[i], now_ms);
  *shard = (struct shard){ .key = shard->key, .started_ms = now_ms };
  if (query->unshared_tokens > 0 && coordinator->options.inventory
      && !prefixes_are_known (coordinator, now_ms))
    ask_runners (coordinator, shard, query, now_ms);
}

/* Asks the runners for a coordinator that took over the prefixes from its
   predecessor, once several versions serve: which of them read the prompts of
   sessions was not handed over. */
static void
check_versions (struct bd_coordinator *coordinator, struct shard *shard,
                const struct bd_coordination_query *query, int64_t now_ms)
{
  if (shard->asked || query->own_part == 0 || !coordinator->options.inventory
      || now_ms - shard->versions_checked_ms < VERSIONS_CHECK_MS)
    return;
  shard->versions_checked_ms = now_ms;
  if (bd_origin_has_several (coordinator->options.targets, query->service))
    ask_runners (coordinator, shard, query, now_ms);
}

static struct shard *
find_or_add_shard (struct bd_coordinator *coordinator,
                   const struct bd_coordination_query *query, int64_t now_ms)
{
  uint64_t key = bd_coordinator_shard_key (query->service, query->shard);
  struct shard *oldest = &coordinator->shards[0];

  for (size_t i = 0; i < coordinator->shard_count; i++)
    {
      struct shard *shard = &coordinator->shards[i];

      if (shard->key == key)
        {
          if (now_ms - shard->last_query_ms > SHARD_IDLE_MS)
            start_shard (coordinator, shard, query, now_ms);
          else if (prefixes_are_known (coordinator, now_ms))
            /* Stays known: this instance records new prefixes itself. */
            coordinator->prefixes_known_ms = now_ms;
          shard->last_query_ms = now_ms;
          check_versions (coordinator, shard, query, now_ms);
          return shard;
        }
      if (shard->last_query_ms < oldest->last_query_ms)
        oldest = shard;
    }
  if (coordinator->shard_count < SHARDS_MAX)
    oldest = &coordinator->shards[coordinator->shard_count++];
  oldest->key = key;
  start_shard (coordinator, oldest, query, now_ms);
  oldest->last_query_ms = now_ms;
  return oldest;
}

/* Decisions. */

static void
add_assignment (struct bd_coordinator *coordinator,
                const struct bd_assignment *assignment)
{
  int error = bd_ledger_assign (coordinator->ledger, assignment);

  if (error != BD_OK)
    bd_log (BD_EVENT_PROTOCOL_ERROR, "source=ledger code=%s",
            bd_error_answer (error)->code);
  bd_stats_set (coordinator->options.stats, BD_GAUGE_LEDGER,
                (int64_t)bd_ledger_count (coordinator->ledger));
}

static void
record_prefix (struct bd_coordinator *coordinator, uint64_t prefix,
               const struct bd_target *target, int64_t now_ms)
{
  struct bd_prefix_entry entry = { prefix, target->hash, now_ms, false };

  if (prefix != 0
      && bd_prefix_map_record_sent (
          bd_selector_prefixes (coordinator->options.selector), prefix,
          target->hash, now_ms))
    bd_standbys_queue_prefix (coordinator->standbys, &entry);
}

static struct bd_coordination_reply
reply_from_decision (const struct bd_selection_request *request,
                     const struct bd_coordination_query *query,
                     const struct bd_decision *decision)
{
  const struct bd_selection *selection = &decision->selection;

  return (struct bd_coordination_reply){
    .request_number = query->request_number,
    .verdict = !selection->target   ? BD_COORDINATION_NO_RUNNER
               : decision->rejected ? BD_COORDINATION_REFUSED
                                    : BD_COORDINATION_PLACED,
    .target = selection->target ? (uint32_t)selection->target->hash : 0,
    .source = selection->source ? (uint32_t)selection->source->hash : 0,
    .selection_reason = selection->reason,
    .prefill_tokens = selection->prefill_tokens,
    .ahead_tokens = selection->ahead_tokens,
    .wait_ms = (int64_t)selection->wait_ms,
    .cost_ms = selection->target ? (int64_t)selection->cost_ms : 0,
    .max_wait_ms = (int64_t)decision->max_wait_ms,
    .retry_after_ms = decision->retry_after_ms,
    .limit_rate = selection->target ? bd_runner_limit_rate (selection->target,
                                                            request->now_ms)
                                    : 0,
    .software = request->software,
  };
}

static struct bd_coordination_reply
origin_reply (const struct bd_coordination_query *query,
              enum bd_coordination_verdict verdict)
{
  return (struct bd_coordination_reply){ .request_number
                                         = query->request_number,
                                         .verdict = verdict };
}

/* Returns when the caller of QUERY should retry because runners limit their
   requests; 0: none does. */
static int64_t
next_turn_ms (struct bd_coordinator *coordinator,
              const struct bd_coordination_query *query, int64_t now_ms)
{
  size_t count;
  struct bd_target *const *all = bd_targets_of_service (
      coordinator->options.targets, query->service, &count);

  return bd_runner_limit_next_turn_ms (all, count, now_ms);
}

struct bd_found_origin
bd_coordinator_find_origin (struct bd_coordinator *coordinator,
                            const struct bd_coordination_query *query,
                            int64_t now_ms)
{
  const struct bd_origin_lookup lookup
      = { coordinator->options.origins, coordinator->options.inventory,
          coordinator->options.targets, coordinator->instance_lost_ms };

  return bd_origin_lookup (&lookup, query, now_ms);
}

/* Decides on REQUEST.  If runners of the version that it needs are left in
   other shards only, it goes to one of these. */
static struct bd_decision
decide_in_shard (struct bd_coordinator *coordinator,
                 struct bd_selection_request *request,
                 struct bd_overload_request *overload, bool is_retry)
{
  struct bd_decision decision
      = bd_decide (coordinator->options.selector, coordinator->options.targets,
                   request, overload, is_retry, &coordinator->random_state);

  if (decision.selection.target || request->software == BD_SOFTWARE_ANY)
    return decision;
  request->shards = 1;
  return bd_decide (coordinator->options.selector,
                    coordinator->options.targets, request, overload, is_retry,
                    &coordinator->random_state);
}

/* Decides on REQUEST, which continues a stream: the runner that holds its
   prompt goes first, and is the only one as long as ORIGIN is not confirmed.
 */
static struct bd_decision
decide_continued (struct bd_coordinator *coordinator,
                  struct bd_selection_request *request,
                  struct bd_overload_request *overload,
                  const struct bd_found_origin *origin)
{
  struct bd_decision decision = { 0 };

  request->software = origin->software;
  request->only = origin->holder;
  if (origin->holder != 0)
    decision = decide_in_shard (coordinator, request, overload, true);
  if (decision.selection.target || (origin->holder != 0 && !origin->confirmed))
    return decision;
  request->only = 0;
  return decide_in_shard (coordinator, request, overload, true);
}

struct bd_coordination_reply
bd_coordinator_decide (struct bd_coordinator *coordinator, uint32_t ip,
                       const struct bd_coordination_query *query,
                       int64_t now_ms)
{
  struct shard *shard = find_or_add_shard (coordinator, query, now_ms);
  struct bd_overload_request overload = query->overload;
  struct bd_selection_request request
      = { .service = query->service,
          .zone = query->zone,
          .prefix_hash = query->prefix_hash,
          .prefix_tokens = query->prefix_tokens,
          .unshared_tokens = query->unshared_tokens,
          .fetch_us_per_k = query->fetch_us_per_k,
          .priority = query->overload.priority,
          .objective_ms = query->overload.objective_ms,
          .now_ms = now_ms,
          .tried = query->excluded,
          .tried_count = query->excluded_count,
          .software = query->software,
          .preferred_software
          = bd_origin_preferred (coordinator->options.origins, query, now_ms),
          .coordinated = true,
          .sent_here = ip == coordinator->options.ip,
          .shard = query->shard,
          .shards = query->shard_count };
  struct bd_found_origin origin = { .confirmed = true };
  struct bd_decision decision;
  struct bd_coordination_reply reply;
  struct bd_assignment assignment
      = { .instance = ip, .request_number = query->request_number };

  request.learning = now_ms - shard->started_ms < WARMUP_MS;
  if (query->continues && query->software == BD_SOFTWARE_ANY)
    {
      origin = bd_coordinator_find_origin (coordinator, query, now_ms);
      if (origin.verdict != BD_COORDINATION_PLACED)
        return origin_reply (query, origin.verdict);
      decision = decide_continued (coordinator, &request, &overload, &origin);
      if (!decision.selection.target && !origin.confirmed)
        return origin_reply (query, BD_COORDINATION_ORIGIN_PENDING);
    }
  else
    decision
        = decide_in_shard (coordinator, &request, &overload, query->is_retry);
  if (!decision.selection.target)
    decision.retry_after_ms = next_turn_ms (coordinator, query, now_ms);
  if (!decision.selection.target || decision.rejected)
    return reply_from_decision (&request, query, &decision);
  assignment.target = decision.selection.target;
  assignment.prefill_tokens = decision.selection.prefill_tokens;
  assignment.placed_ms = now_ms;
  assignment.prefix_hash = query->prefix_hash;
  assignment.priority = query->overload.priority;
  assignment.is_short = bd_selection_request_is_short (&request);
  assignment.expires_ms = now_ms + overload.time_left_ms + EXPIRY_MARGIN_MS;
  add_assignment (coordinator, &assignment);
  record_prefix (coordinator, query->prefix_hash, assignment.target, now_ms);
  bd_stream_origins_record_prompt (coordinator->options.origins,
                                   query->own_part,
                                   assignment.target->software.hash, now_ms);
  bd_selector_record_sent (coordinator->options.selector, &request,
                           assignment.target);
  if (ip != coordinator->options.ip)
    bd_outlier_record_sent (assignment.target, now_ms);
  reply = reply_from_decision (&request, query, &decision);
  reply.unconfirmed = !origin.confirmed;
  return reply;
}

/* Handles the end of a request's prefill: updates the speed estimate of the
   service, and records that other runners can fetch the prefix now. */
static void
record_prefill_done (struct bd_coordinator *coordinator, uint32_t ip,
                     uint32_t number, int64_t now_ms)
{
  struct bd_prefill_sample prefill;
  const struct bd_assignment *assignment = bd_ledger_record_first_event (
      coordinator->ledger, ip, number, now_ms, &prefill);
  struct bd_prefix_entry entry = { .sent_ms = now_ms, .cached = true };

  if (!assignment)
    return;
  if (prefill.tokens > 0)
    bd_service_stats_record_prefill (
        bd_selector_stats (coordinator->options.selector),
        assignment->target->service, prefill.tokens, prefill.ms);
  if (assignment->prefix_hash == 0)
    return;
  entry.prefix_hash = assignment->prefix_hash;
  entry.target_hash = assignment->target->hash;
  bd_prefix_map_record_cached (
      bd_selector_prefixes (coordinator->options.selector), entry.prefix_hash,
      entry.target_hash);
  bd_standbys_queue_prefix (coordinator->standbys, &entry);
}

void
bd_coordinator_add_placed (struct bd_coordinator *coordinator, uint32_t ip,
                           const struct bd_coordination_notice *notice,
                           int64_t now_ms)
{
  struct bd_target *target
      = bd_targets_by_hash (coordinator->options.targets, notice->target);
  struct bd_assignment assignment
      = { .instance = ip,
          .request_number = notice->request_number,
          .target = target,
          .prefill_tokens = notice->prefill_tokens,
          .prefix_hash = notice->prefix_hash,
          .placed_ms = now_ms,
          .priority = notice->priority,
          .is_short = notice->is_short,
          .expires_ms = now_ms + notice->time_left_ms + EXPIRY_MARGIN_MS };

  if (!target)
    return;
  add_assignment (coordinator, &assignment);
  bd_runner_limit_debit (target, now_ms);
  record_prefix (coordinator, notice->prefix_hash, target, now_ms);
  if (notice->prefill_done)
    record_prefill_done (coordinator, ip, notice->request_number, now_ms);
}

void
bd_coordinator_handle_report (struct bd_coordinator *coordinator, uint32_t ip,
                              const struct bd_coordination_report *report,
                              int64_t now_ms)
{
  struct bd_target *target;

  if (!report->attempt_ended)
    {
      record_prefill_done (coordinator, ip, report->request_number, now_ms);
      return;
    }
  target = bd_ledger_release (coordinator->ledger, ip, report->request_number);
  /* This instance records the outcomes of its own attempts itself. */
  if (!target || ip == coordinator->options.ip)
    return;
  if (report->outcome.has_result)
    bd_outlier_record (coordinator->options.targets, target, now_ms,
                       report->outcome.result);
  bd_pause_begin_for_peer (target, now_ms, report->outcome.pause_ms);
}

/* Messages. */

static void
handle_prefixes (struct bd_coordinator *coordinator,
                 const struct bd_coordination_message *message, int64_t now_ms)
{
  struct bd_prefix_map *prefixes
      = bd_selector_prefixes (coordinator->options.selector);

  if (message->prefixes.complete)
    coordinator->prefixes_known_ms = now_ms;
  for (size_t i = 0; i < message->prefixes.count; i++)
    {
      const struct bd_prefix_entry *prefix = &message->prefixes.items[i];

      bd_prefix_map_record_sent (prefixes, prefix->prefix_hash,
                                 prefix->target_hash,
                                 now_ms - prefix->sent_ms);
      if (prefix->cached)
        bd_prefix_map_record_cached (prefixes, prefix->prefix_hash,
                                     prefix->target_hash);
    }
}

void
bd_coordinator_handle (struct bd_coordinator *coordinator, uint32_t ip,
                       const struct bd_coordination_message *message,
                       int64_t now_ms)
{
  struct bd_coordination_message reply = { .kind = BD_COORDINATION_REPLY };

  switch (message->kind)
    {
    case BD_COORDINATION_QUERY:
      reply.reply
          = bd_coordinator_decide (coordinator, ip, &message->query, now_ms);
      bd_stats_count (coordinator->options.stats, BD_STAT_ANSWERS, 1);
      bd_mesh_send (coordinator->mesh, ip, &reply);
      break;
    case BD_COORDINATION_NOTICES:
      for (size_t i = 0; i < message->notices.count; i++)
        bd_coordinator_add_placed (coordinator, ip, &message->notices.items[i],
                                   now_ms);
      break;
    case BD_COORDINATION_REPORTS:
      for (size_t i = 0; i < message->reports.count; i++)
        bd_coordinator_handle_report (coordinator, ip,
                                      &message->reports.items[i], now_ms);
      break;
    case BD_COORDINATION_PREFIXES:
      handle_prefixes (coordinator, message, now_ms);
      break;
    case BD_COORDINATION_LIMIT:
      bd_limit_notice_apply (coordinator->options.targets, &message->limit,
                             now_ms);
      break;
    case BD_COORDINATION_ORIGINS:
      for (size_t i = 0; i < message->origins.count; i++)
        bd_origin_notice_apply (coordinator->options.origins,
                                &message->origins.items[i], now_ms);
      break;
    default:
      break;
    }
}

void
bd_coordinator_instance_lost (struct bd_coordinator *coordinator, uint32_t ip,
                              bool silent, int64_t now_ms)
{
  coordinator->instance_lost_ms = now_ms;
  if (silent)
    bd_ledger_suspect_instance (coordinator->ledger, ip);
  else
    bd_ledger_release_instance (coordinator->ledger, ip);
}

/* Standby coordinators. */

/* Sets KEY to the key of the shard that was queried last.  Returns false when
   there was no query lately. */
static bool
latest_shard_key (const struct bd_coordinator *coordinator, int64_t now_ms,
                  uint64_t *key)
{
  const struct shard *latest = NULL;

  for (size_t i = 0; i < coordinator->shard_count; i++)
    if (!latest
        || coordinator->shards[i].last_query_ms > latest->last_query_ms)
      latest = &coordinator->shards[i];
  if (!latest || now_ms - latest->last_query_ms > SHARD_IDLE_MS)
    return false;
  *key = latest->key;
  return true;
}

/* Returns the highest ranked instance other than this one; 0: none. */
static uint32_t
highest_ranked_other (const struct bd_coordinator *coordinator, uint64_t key,
                      bool include_joining, int64_t now_ms)
{
  uint32_t ips[BD_RANK_MAX];
  size_t count
      = bd_mesh_rank (coordinator->mesh, key, now_ms, include_joining, ips, 2);

  for (size_t i = 0; i < count; i++)
    if (ips[i] != coordinator->options.ip)
      return ips[i];
  return 0;
}

/* The standby coordinators are the next instance in rank, and the one that
   will rank first once it has joined. */
static void
update_standbys (struct bd_coordinator *coordinator, int64_t now_ms)
{
  uint64_t key;
  uint32_t next = 0;
  uint32_t joining = 0;

  if (latest_shard_key (coordinator, now_ms, &key))
    {
      next = highest_ranked_other (coordinator, key, false, now_ms);
      joining = highest_ranked_other (coordinator, key, true, now_ms);
    }
  bd_standbys_set (coordinator->standbys, next, joining);
}

void
bd_coordinator_tick (struct bd_coordinator *coordinator, int64_t now_ms)
{
  bd_ledger_expire (coordinator->ledger, now_ms);
  if (!coordinator->mesh)
    return;
  update_standbys (coordinator, now_ms);
  bd_standbys_send (coordinator->standbys, coordinator->mesh, now_ms,
                    prefixes_are_known (coordinator, now_ms));
}
