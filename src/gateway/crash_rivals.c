#include "gateway/crash_rivals.h"

#include <stddef.h>

static bool
explain_by_parts (const struct bd_rivals *base, struct bd_id crash,
                  uint32_t count, bool harmless_before)
{
  const struct bd_crash_rivals *rivals
      = (const struct bd_crash_rivals *)((const char *)base
                                         - offsetof (struct bd_crash_rivals,
                                                     parts));

  return rivals->request
         && bd_part_breakers_explain (rivals->breakers,
                                      &rivals->request->parts, crash, count,
                                      harmless_before);
}

static bool
explain_by_requests (const struct bd_rivals *base, struct bd_id crash,
                     uint32_t count, bool harmless_before)
{
  const struct bd_crash_rivals *rivals
      = (const struct bd_crash_rivals *)((const char *)base
                                         - offsetof (struct bd_crash_rivals,
                                                     requests));
  const struct bd_fingerprint *request = rivals->request;

  return request
         && bd_suspects_explain (rivals->suspects, request->exact,
                                 request->broad, crash, count,
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
  *rivals = (struct bd_crash_rivals){ .parts = { &part_ops },
                                      .requests = { &request_ops },
                                      .suspects = suspects,
                                      .breakers = breakers };
  bd_part_breakers_weigh_requests (breakers, &rivals->requests);
  return bd_suspects_weigh_rivals (suspects, &rivals->parts, seed);
}

void
bd_crash_rivals_set_request (struct bd_crash_rivals *rivals,
                             const struct bd_fingerprint *request)
{
  rivals->request = request;
}
