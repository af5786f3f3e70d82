#include "gateway/crash_rivals.h"

static const struct bd_crash_rivals *
all_of (const struct bd_rivals *base)
{
  return ((const struct bd_crash_rivals_view *)base)->all;
}

static bool
explain_by_parts (const struct bd_rivals *base, struct bd_id crash,
                  uint32_t count, bool harmless_before)
{
  const struct bd_crash_rivals *all = all_of (base);

  return all->request
         && bd_part_breakers_explain (all->breakers, &all->request->parts,
                                      crash, count, harmless_before);
}

static bool
explain_by_requests (const struct bd_rivals *base, struct bd_id crash,
                     uint32_t count, bool harmless_before)
{
  const struct bd_crash_rivals *all = all_of (base);

  return all->request
         && bd_suspects_explain (all->suspects, all->request->exact,
                                 all->request->broad, crash, count,
                                 harmless_before);
}

static const struct bd_rivals_ops part_ops = { .explain = explain_by_parts };
static const struct bd_rivals_ops request_ops
    = { .explain = explain_by_requests };

int
bd_crash_rivals_init (struct bd_crash_rivals *rivals,
                      struct bd_suspects *suspects,
                      struct bd_part_breakers *breakers, uint64_t seed)
{
  *rivals = (struct bd_crash_rivals){ .parts = { { &part_ops }, rivals },
                                      .requests = { { &request_ops }, rivals },
                                      .suspects = suspects,
                                      .breakers = breakers };
  bd_part_breakers_weigh_requests (breakers, &rivals->requests.base);
  return bd_suspects_weigh_rivals (suspects, &rivals->parts.base, seed);
}

void
bd_crash_rivals_set_request (struct bd_crash_rivals *rivals,
                             const struct bd_fingerprint *request)
{
  rivals->request = request;
}
