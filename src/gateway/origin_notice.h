/**
 * @file origin_notice.h
 * What an instance tells the instances that may be asked about a stream that
 * has begun: which software version began it.
 */
#ifndef BD_ORIGIN_NOTICE_H
#define BD_ORIGIN_NOTICE_H

#include "balance/stream_origin.h"
#include "wire/pack.h"

/** Number of values of a notice in a message. */
#define BD_ORIGIN_NOTICE_VALUES 3
/** Longest time for which an origin is kept, in milliseconds. */
#define BD_ORIGIN_KEEP_MAX_MS 120000

/** The origin of a stream. */
struct bd_origin_notice
{
  uint64_t stream;
  uint64_t software; /**< Hash of the version, or BD_SOFTWARE_UNCERTAIN. */
  int64_t keep_ms;   /**< Time until nobody continues the stream any more. */
};

/** Records the origin that NOTICE tells. */
void bd_origin_notice_apply (struct bd_stream_origins *origins,
                             const struct bd_origin_notice *notice,
                             int64_t now_ms);

void bd_origin_notice_write (struct bd_pack *pack,
                             const struct bd_origin_notice *notice);
void bd_origin_notice_read (struct bd_unpack *unpack,
                            struct bd_origin_notice *notice);

#endif
