#include "support_limiter.h"

#include "common/random.h"

void
limiters_start (struct limiters *f, int i, bool new)
{
  struct entry *e = &f->entries[i];

  bd_limiter_destroy (e->limiter);
  e->life = ++f->lives;
  if (new)
    e->name = bd_random_mix (e->life);
  e->limiter = bd_limiter_create (e->name);
  bd_limiter_set_peers (e->limiter, f->now_ms, f->named);
  g_assert_cmpint (
      bd_limiter_set (e->limiter, f->now_ms, WORKSPACE, &f->limits), ==,
      BD_OK);
  /* A start brings a bucket, filled at the floor. */
  f->audit.requests
      += MAX (1.0, f->limits.requests_per_s * BD_SHARE_FLOOR / f->count);
}

void
limiters_stop (struct limiters *f, int i)
{
  bd_limiter_destroy (f->entries[i].limiter);
  f->entries[i].limiter = NULL;
}

void
limiters_name (struct limiters *f, uint32_t named)
{
  f->named = named;
  for (int i = 0; i < f->count; i++)
    if (f->entries[i].limiter)
      bd_limiter_set_peers (f->entries[i].limiter, f->now_ms, named);
}

static double
or_unlimited (int32_t limit)
{
  return limit > 0 ? limit : 1e12;
}

void
limiters_init (struct limiters *f, uint64_t seed, int count,
               const struct bd_limits *limits)
{
  *f = (struct limiters){ .count = count,
                          .named = (uint32_t)count,
                          .limits = *limits,
                          .random = seed,
                          .now_ms = 1000,
                          .delay_max_ms = 50,
                          .tokens = 100,
                          .duration_ms = 500 };
  f->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  f->running = g_array_new (FALSE, FALSE, sizeof (struct running));
  naive_limiter_init (&f->central, or_unlimited (limits->requests_per_s),
                      or_unlimited (limits->tokens_per_s),
                      or_unlimited (limits->concurrency),
                      or_unlimited (limits->requests_per_s),
                      or_unlimited (limits->tokens_per_s));
  f->central.now_ms = f->now_ms;
  naive_limiter_init (
      &f->audit, or_unlimited (limits->requests_per_s) * SHARES_MAX,
      or_unlimited (limits->tokens_per_s) * SHARES_MAX,
      or_unlimited (limits->concurrency) * SHARES_MAX + count,
      or_unlimited (limits->requests_per_s) * SHARES_MAX + count,
      or_unlimited (limits->tokens_per_s) * SHARES_MAX + count * f->tokens);
  f->audit.now_ms = f->now_ms;
  for (int i = 0; i < count; i++)
    limiters_start (f, i, true);
}

void
limiters_clear (struct limiters *f)
{
  for (int i = 0; i < f->count; i++)
    limiters_stop (f, i);
  g_array_free (f->messages, TRUE);
  g_array_free (f->running, TRUE);
}

/** Tells all peers, or with nothing to tell some of them in turn. */
static void
limiters_gossip (struct limiters *f, int from)
{
  struct entry *e = &f->entries[from];
  struct message m = { .from = e->name };
  int64_t round = f->now_ms / GOSSIP_MS;

  m.count = bd_limiter_demands (e->limiter, f->now_ms, m.demands, DEMANDS_MAX);
  for (m.to = 0; m.to < f->count; m.to++)
    {
      m.arrives_ms
          = f->now_ms + 1 + bd_random_below (&f->random, f->delay_max_ms);
      if (m.count == 0 && (round + m.to) % (PEER_PERIOD_MS / GOSSIP_MS) != 0)
        continue;
      if (m.to != from && f->entries[m.to].side == e->side
          && bd_random_below (&f->random, 1000) >= f->loss_permille)
        g_array_append_val (f->messages, m);
    }
}

static void
limiters_deliver (struct limiters *f)
{
  for (guint i = 0; i < f->messages->len;)
    {
      struct message m = g_array_index (f->messages, struct message, i);
      struct entry *to = &f->entries[m.to];

      if (m.arrives_ms > f->now_ms)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (f->messages, i);
      if (to->limiter)
        bd_limiter_peer_demand (to->limiter, f->now_ms, m.from, m.demands,
                                m.count);
    }
}

static void
limiters_end_requests (struct limiters *f)
{
  for (guint i = 0; i < f->running->len;)
    {
      struct running r = g_array_index (f->running, struct running, i);
      struct entry *e = r.entry >= 0 ? &f->entries[r.entry] : NULL;
      bool lost = e && (!e->limiter || e->life != r.life);

      if (r.ends_ms > f->now_ms && !lost)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (f->running, i);
      if (!e)
        naive_limiter_release (&f->central, r.expected, r.used);
      else
        naive_limiter_release (&f->audit, r.expected, r.used);
      if (e && !lost)
        bd_limiter_release (e->limiter, f->now_ms, WORKSPACE, r.expected,
                            r.used);
    }
}

static void
limiters_request (struct limiters *f, int i)
{
  struct entry *e = &f->entries[i];
  int32_t retry_ms = 0;
  struct running r = { .entry = i,
                       .life = e->life,
                       .expected = f->tokens,
                       .used = bd_random_below (&f->random, 2 * f->tokens) };
  struct running central = r;

  r.ends_ms = f->now_ms + 1 + bd_random_below (&f->random, 2 * f->duration_ms);
  central.ends_ms = r.ends_ms;
  central.entry = -1;
  if (naive_limiter_allows (&f->central, f->tokens))
    {
      naive_limiter_take (&f->central, f->tokens);
      f->central_admitted++;
      g_array_append_val (f->running, central);
    }
  if (bd_limiter_admit (e->limiter, f->now_ms, WORKSPACE, f->tokens, &retry_ms)
      != BD_OK)
    {
      g_assert_cmpint (retry_ms, >, 0);
      return;
    }
  g_assert_cmpfloat (f->audit.requests, >=, 1.0);
  g_assert_cmpfloat (f->audit.tokens + (double)f->audit.running * f->tokens,
                     >=, 0.0);
  g_assert_cmpfloat (f->audit.running + 1.0, <=, f->audit.concurrency);
  naive_limiter_take (&f->audit, f->tokens);
  e->admitted++;
  f->admitted++;
  g_array_append_val (f->running, r);
}

static void
limiters_step (struct limiters *f)
{
  double sum = 0.0;

  f->now_ms += STEP_MS;
  naive_limiter_advance (&f->central, f->now_ms);
  naive_limiter_advance (&f->audit, f->now_ms);
  limiters_deliver (f);
  limiters_end_requests (f);
  for (int i = 0; i < f->count; i++)
    {
      struct entry *e = &f->entries[i];
      double expected = e->offered_per_s * STEP_MS / 1000.0;

      if (!e->limiter)
        continue;
      if (f->now_ms % TICK_MS == 0)
        bd_limiter_tick (e->limiter, f->now_ms);
      if ((f->now_ms + (int64_t)20 * i) % GOSSIP_MS < STEP_MS)
        limiters_gossip (f, i);
      while (bd_random_below (&f->random, 1000000) < expected * 1e6)
        {
          limiters_request (f, i);
          expected -= 1.0;
        }
      sum += bd_limiter_share (e->limiter, WORKSPACE) / 10000.0;
    }
  f->share_sum = sum;
  f->share_max = MAX (f->share_max, sum);
}

void
limiters_run (struct limiters *f, int64_t duration_ms)
{
  int64_t end_ms = f->now_ms + duration_ms;

  while (f->now_ms < end_ms)
    limiters_step (f);
}

double
limiters_against_central (struct limiters *f, int64_t duration_ms)
{
  uint64_t admitted = f->admitted;
  uint64_t central = f->central_admitted;

  limiters_run (f, duration_ms);
  return (double)(f->admitted - admitted)
         / (double)(f->central_admitted - central);
}

void
limiters_offer (struct limiters *f, double per_s)
{
  for (int i = 0; i < f->count; i++)
    f->entries[i].offered_per_s = per_s;
}
