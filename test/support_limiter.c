#include "support_limiter.h"

#include "common/random.h"

void
limiters_start (struct limiters *fleet, int i, bool new)
{
  struct limiter_instance *entry = &fleet->entries[i];

  bd_limiter_destroy (entry->limiter);
  entry->incarnation = ++fleet->incarnations;
  if (new)
    entry->name = bd_random_mix (entry->incarnation);
  entry->limiter = bd_limiter_create (entry->name);
  bd_limiter_set_entry_count (entry->limiter, fleet->now_ms, fleet->published);
  g_assert_cmpint (bd_limiter_set (entry->limiter, fleet->now_ms, WORKSPACE,
                                   &fleet->limits),
                   ==, BD_OK);
  /* A start adds a bucket filled at the floor's rate. */
  fleet->bound.requests += MAX (1.0, fleet->limits.requests_per_s
                                         * BD_SHARE_FLOOR / fleet->count);
}

void
limiters_stop (struct limiters *fleet, int i)
{
  bd_limiter_destroy (fleet->entries[i].limiter);
  fleet->entries[i].limiter = NULL;
}

void
limiters_publish (struct limiters *fleet, uint32_t published)
{
  fleet->published = published;
  for (int i = 0; i < fleet->count; i++)
    if (fleet->entries[i].limiter)
      bd_limiter_set_entry_count (fleet->entries[i].limiter, fleet->now_ms,
                                  published);
}

static double
or_unlimited (int32_t limit)
{
  return limit > 0 ? limit : 1e12;
}

void
limiters_init (struct limiters *fleet, uint64_t seed, int count,
               const struct bd_limits *limits)
{
  *fleet = (struct limiters){ .count = count,
                              .published = (uint32_t)count,
                              .limits = *limits,
                              .random = seed,
                              .now_ms = 1000,
                              .delay_max_ms = 50,
                              .tokens = 100,
                              .duration_ms = 500 };
  fleet->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  fleet->running = g_array_new (FALSE, FALSE, sizeof (struct running));
  naive_limiter_init (&fleet->central, or_unlimited (limits->requests_per_s),
                      or_unlimited (limits->tokens_per_s),
                      or_unlimited (limits->concurrency),
                      or_unlimited (limits->requests_per_s),
                      or_unlimited (limits->tokens_per_s));
  fleet->central.now_ms = fleet->now_ms;
  naive_limiter_init (
      &fleet->bound, or_unlimited (limits->requests_per_s) * SHARES_MAX,
      or_unlimited (limits->tokens_per_s) * SHARES_MAX,
      or_unlimited (limits->concurrency) * SHARES_MAX + count,
      or_unlimited (limits->requests_per_s) * SHARES_MAX + count,
      or_unlimited (limits->tokens_per_s) * SHARES_MAX
          + count * fleet->tokens);
  fleet->bound.now_ms = fleet->now_ms;
  for (int i = 0; i < count; i++)
    limiters_start (fleet, i, true);
}

void
limiters_clear (struct limiters *fleet)
{
  for (int i = 0; i < fleet->count; i++)
    limiters_stop (fleet, i);
  g_array_free (fleet->messages, TRUE);
  g_array_free (fleet->running, TRUE);
}

/**
 * Sends the demands to all peers.  Without demands, sends to some peers in
 * turn.
 */
static void
limiters_gossip (struct limiters *fleet, int from)
{
  struct limiter_instance *entry = &fleet->entries[from];
  struct message message = { .from = entry->name };
  int64_t round = fleet->now_ms / GOSSIP_MS;

  message.count = bd_limiter_collect_demands (entry->limiter, fleet->now_ms,
                                              message.demands, DEMANDS_MAX);
  for (message.to = 0; message.to < fleet->count; message.to++)
    {
      message.arrives_ms
          = fleet->now_ms + 1
            + bd_random_below (&fleet->random, fleet->delay_max_ms);
      if (message.count == 0
          && (round + message.to) % (PEER_PERIOD_MS / GOSSIP_MS) != 0)
        continue;
      if (message.to != from && fleet->entries[message.to].side == entry->side
          && bd_random_below (&fleet->random, 1000) >= fleet->loss_permille)
        g_array_append_val (fleet->messages, message);
    }
}

static void
limiters_deliver (struct limiters *fleet)
{
  for (guint i = 0; i < fleet->messages->len;)
    {
      struct message message
          = g_array_index (fleet->messages, struct message, i);
      struct limiter_instance *to = &fleet->entries[message.to];

      if (message.arrives_ms > fleet->now_ms)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (fleet->messages, i);
      if (to->limiter)
        bd_limiter_record_peer (to->limiter, fleet->now_ms, message.from,
                                message.demands, message.count);
    }
}

static void
limiters_end_requests (struct limiters *fleet)
{
  for (guint i = 0; i < fleet->running->len;)
    {
      struct running running
          = g_array_index (fleet->running, struct running, i);
      struct limiter_instance *entry
          = running.entry >= 0 ? &fleet->entries[running.entry] : NULL;
      bool lost
          = entry
            && (!entry->limiter || entry->incarnation != running.incarnation);

      if (running.ends_ms > fleet->now_ms && !lost)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (fleet->running, i);
      if (!entry)
        naive_limiter_release (&fleet->central, running.expected,
                               running.used);
      else
        naive_limiter_release (&fleet->bound, running.expected, running.used);
      if (entry && !lost)
        bd_limiter_release (entry->limiter, fleet->now_ms, WORKSPACE,
                            running.expected, running.used);
    }
}

static void
limiters_request (struct limiters *fleet, int i)
{
  struct limiter_instance *entry = &fleet->entries[i];
  int32_t retry_ms = 0;
  struct running running
      = { .entry = i,
          .incarnation = entry->incarnation,
          .expected = fleet->tokens,
          .used = bd_random_below (&fleet->random, 2 * fleet->tokens) };
  struct running central = running;

  running.ends_ms = fleet->now_ms + 1
                    + bd_random_below (&fleet->random, 2 * fleet->duration_ms);
  central.ends_ms = running.ends_ms;
  central.entry = -1;
  if (naive_limiter_allows (&fleet->central, fleet->tokens))
    {
      naive_limiter_take (&fleet->central, fleet->tokens);
      fleet->central_admitted++;
      g_array_append_val (fleet->running, central);
    }
  if (bd_limiter_admit (entry->limiter, fleet->now_ms, WORKSPACE,
                        fleet->tokens, &retry_ms)
      != BD_OK)
    {
      g_assert_cmpint (retry_ms, >, 0);
      return;
    }
  g_assert_cmpfloat (fleet->bound.requests, >=, 1.0);
  g_assert_cmpfloat (fleet->bound.tokens
                         + (double)fleet->bound.running * fleet->tokens,
                     >=, 0.0);
  g_assert_cmpfloat (fleet->bound.running + 1.0, <=, fleet->bound.concurrency);
  naive_limiter_take (&fleet->bound, fleet->tokens);
  entry->admitted++;
  fleet->admitted++;
  g_array_append_val (fleet->running, running);
}

static void
limiters_step (struct limiters *fleet)
{
  double sum = 0.0;

  fleet->now_ms += STEP_MS;
  naive_limiter_advance (&fleet->central, fleet->now_ms);
  naive_limiter_advance (&fleet->bound, fleet->now_ms);
  limiters_deliver (fleet);
  limiters_end_requests (fleet);
  for (int i = 0; i < fleet->count; i++)
    {
      struct limiter_instance *entry = &fleet->entries[i];
      double expected = entry->offered_per_s * STEP_MS / 1000.0;

      if (!entry->limiter)
        continue;
      if (fleet->now_ms % TICK_MS == 0)
        bd_limiter_tick (entry->limiter, fleet->now_ms);
      if ((fleet->now_ms + (int64_t)20 * i) % GOSSIP_MS < STEP_MS)
        limiters_gossip (fleet, i);
      while (bd_random_below (&fleet->random, 1000000) < expected * 1e6)
        {
          limiters_request (fleet, i);
          expected -= 1.0;
        }
      sum += bd_limiter_share (entry->limiter, WORKSPACE) / 10000.0;
    }
  fleet->share_sum = sum;
  fleet->share_max = MAX (fleet->share_max, sum);
}

void
limiters_run (struct limiters *fleet, int64_t duration_ms)
{
  int64_t end_ms = fleet->now_ms + duration_ms;

  while (fleet->now_ms < end_ms)
    limiters_step (fleet);
}

double
limiters_central_ratio (struct limiters *fleet, int64_t duration_ms)
{
  uint64_t admitted = fleet->admitted;
  uint64_t central = fleet->central_admitted;

  limiters_run (fleet, duration_ms);
  return (double)(fleet->admitted - admitted)
         / (double)(fleet->central_admitted - central);
}

void
limiters_set_rate (struct limiters *fleet, double per_s)
{
  for (int i = 0; i < fleet->count; i++)
    fleet->entries[i].offered_per_s = per_s;
}
