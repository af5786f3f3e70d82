#include "gateway/limit_notice.h"

struct bd_limit_notice
bd_limit_notice_of (const struct bd_target *target, int64_t now_ms)
{
  return (struct bd_limit_notice){ .target = (uint32_t)target->hash,
                                   .started_ms = target->started_ms,
                                   .rate = target->limit.rate,
                                   .age_ms = now_ms - target->limit.heard_ms };
}

void
bd_limit_notice_apply (const struct bd_targets *targets,
                       const struct bd_limit_notice *notice, int64_t now_ms)
{
  struct bd_target *target = bd_targets_by_hash (targets, notice->target);

  if (target && notice->age_ms >= 0 && notice->age_ms <= now_ms)
    bd_runner_limit_heard (target, notice->started_ms, now_ms,
                           now_ms - notice->age_ms, notice->rate);
}

void
bd_limit_notice_write (struct bd_pack *pack,
                       const struct bd_limit_notice *notice)
{
  bd_pack_array (pack, 4);
  bd_pack_uint (pack, notice->target);
  bd_pack_int (pack, notice->started_ms);
  bd_pack_uint (pack, notice->rate);
  bd_pack_int (pack, notice->age_ms);
}

void
bd_limit_notice_read (struct bd_unpack *unpack, struct bd_limit_notice *notice)
{
  bd_unpack_array (unpack);
  notice->target = (uint32_t)bd_unpack_uint (unpack);
  notice->started_ms = bd_unpack_int (unpack);
  notice->rate = (uint32_t)bd_unpack_uint (unpack);
  notice->age_ms = bd_unpack_int (unpack);
}
