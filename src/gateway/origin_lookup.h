/**
 * @file origin_lookup.h
 * Finds out which software version began a stream that a caller continues:
 * from what instances have told, or else from what runners hold.
 */
#ifndef BD_ORIGIN_LOOKUP_H
#define BD_ORIGIN_LOOKUP_H

#include "gateway/coordination.h"
#include "gateway/inventory.h"

/** Where to look. */
struct bd_origin_lookup
{
  struct bd_stream_origins *origins;
  struct bd_inventory *inventory; /**< May be NULL: runners are not asked. */
  struct bd_targets *targets;
  /** When an instance ended last, so that what it had been told was lost. */
  int64_t instance_lost_ms;
};

/** What is known of the origin of a stream. */
struct bd_found_origin
{
  /** BD_COORDINATION_PLACED when the version is known, or else one of the two
      verdicts about origins. */
  enum bd_coordination_verdict verdict;
  uint64_t software; /**< Hash of the version. */
  /** Low 32 bits of the hash of a runner that holds the prompt; 0: none is
      known. */
  uint32_t holder;
  /** The version is certain; otherwise only the holder can confirm it. */
  bool confirmed;
};

/** Looks for the stream of QUERY, and asks runners if that may help. */
struct bd_found_origin
bd_origin_lookup (const struct bd_origin_lookup *lookup,
                  const struct bd_coordination_query *query, int64_t now_ms);

/**
 * Returns the version that read the prompt of QUERY before, which the request
 * should keep to; BD_SOFTWARE_ANY: none is known, or the request has failed
 * somewhere, for which the version may be the cause.
 */
uint64_t bd_origin_preferred (const struct bd_stream_origins *origins,
                              const struct bd_coordination_query *query,
                              int64_t now_ms);

/** Whether the runners of SERVICE run more than one software version. */
bool bd_origin_has_several (struct bd_targets *targets,
                            struct bd_chunk service);

#endif
