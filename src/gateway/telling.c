#include "gateway/telling.h"

#include "common/log.h"

#include <arpa/inet.h>
#include <inttypes.h>

/* How long the shutdown of a runner is gossiped: repeated because datagrams
   get lost, and not for long because the store shows it as well. */
#define LEAVING_TOLD_MS 5000

static bool
is_avoided (const struct bd_target *target, int64_t now_ms)
{
  return now_ms < target->record.avoid_until_ms;
}

void
bd_tell_loads (struct bd_targets *targets, struct bd_news *news,
               int64_t now_ms)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (targets, &count);

  news->loads_told = true;
  for (size_t i = 0; i < count && news->load_count < BD_NEWS_LOADS_MAX; i++)
    if (all[i]->in_flight > 0 || is_avoided (all[i], now_ms))
      news->loads[news->load_count++] = (struct bd_news_load){
        .target = (uint32_t)all[i]->hash,
        .in_flight = all[i]->in_flight,
        .token_steps
        = (uint32_t)(all[i]->prefill_tokens / BD_NEWS_TOKENS_PER_STEP),
        .avoided = is_avoided (all[i], now_ms),
      };
}

void
bd_forget_loads (struct bd_targets *targets)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (targets, &count);

  for (size_t i = 0; i < count; i++)
    {
      all[i]->peers_in_flight = 0;
      all[i]->peers_prefill_tokens = 0;
      all[i]->peers_avoiding = 0;
    }
}

void
bd_add_loads (struct bd_targets *targets, const struct bd_news_load *loads,
              size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct bd_target *target = bd_targets_by_hash (targets, loads[i].target);

      if (!target)
        continue;
      target->peers_in_flight += loads[i].in_flight;
      target->peers_avoiding += loads[i].avoided;
      target->peers_prefill_tokens
          += (uint64_t)loads[i].token_steps * BD_NEWS_TOKENS_PER_STEP;
    }
}

void
bd_tell_leaving (struct bd_targets *targets, struct bd_news *news,
                 int64_t now_ms)
{
  size_t count;
  struct bd_target *const *all = bd_targets_all (targets, &count);

  for (size_t i = 0; i < count && news->leaving_count < BD_NEWS_LEAVING_MAX;
       i++)
    if (all[i]->leaving_heard && all[i]->leaving_ms != 0
        && now_ms - all[i]->leaving_ms < LEAVING_TOLD_MS)
      news->runners_leaving[news->leaving_count++]
          = (struct bd_news_leaving){ (uint32_t)all[i]->hash,
                                      all[i]->born_ms };
}

void
bd_take_leaving (struct bd_targets *targets, const struct bd_news *news,
                 int64_t now_ms)
{
  for (size_t i = 0; i < news->leaving_count; i++)
    {
      const struct bd_news_leaving *told = &news->runners_leaving[i];
      struct bd_target *target = bd_targets_by_hash (targets, told->target);

      if (target)
        bd_targets_leaving (targets, target, told->born_ms, now_ms, false);
    }
}

void
bd_take_strikes (struct bd_suspects *suspects, const struct bd_news *news,
                 int64_t now_ms)
{
  for (size_t i = 0; i < news->strike_count; i++)
    {
      const struct bd_strike *strike = &news->strikes[i];

      if (bd_suspects_hear (suspects, now_ms, strike))
        bd_log (BD_EVENT_STRIKE_HEARD,
                "fingerprint=%016" PRIx64 " crash=%016" PRIx64
                " alone=%d cleared=%d age_ms=%" PRId64 " from=%08x",
                strike->fingerprint, strike->crash.low, (int)strike->alone,
                (int)strike->cleared, strike->age_ms, ntohl (news->ip));
    }
}
