/**
 * @file suspect_internal.h
 * The table of suspect.h, shared by its files.
 */
#ifndef BD_SUSPECT_INTERNAL_H
#define BD_SUSPECT_INTERNAL_H

#include "retry/suspect.h"

struct bd_map;
struct bd_harmless_parts;
struct bd_crash_summary;

/** Crashes stored for one fingerprint. */
#define BD_SUSPECT_CRASHES_MAX 8

struct crash
{
  struct bd_id id;
  bool alone;
  bool cleared;
  bool provisional;
  bool gossiped; /* Was gossiped, or need not be. */
};

struct suspect
{
  uint64_t fingerprint;
  int64_t last_event_ms;
  int64_t last_gossip_ms; /* Value of LAST_EVENT_MS that was last gossiped. */
  int64_t last_crash_ms;  /* The latest strike that was new. */
  int64_t trial_ms;       /* Of the last trial. */
  uint32_t trials;        /* Since it was last completed. */
  uint32_t next_free;     /* In the list of free records. */
  uint32_t crash_count;   /* 0 in a free record. */
  struct crash crashes[BD_SUSPECT_CRASHES_MAX];
};

struct bd_suspects
{
  uint32_t capacity;
  uint32_t used;
  uint32_t free_list;
  uint32_t gossip_cursor; /* Where the next gossip round starts. */
  int64_t keep_ms;
  struct suspect *suspects;
  struct bd_map *by_fingerprint;
  const struct bd_rivals *rivals;      /* NULL: none are weighed. */
  struct bd_harmless_parts *completed; /* Fingerprints; NULL without rivals. */
  uint64_t seed;                       /* Of the times of trials. */
  struct bd_crash_summary *summary;    /* Likewise; made when it is needed. */
};

/** The crashes that count against a fingerprint. */
struct bd_suspect_evidence
{
  uint32_t crashes;
  uint32_t alone; /**< Those at which it was the only request. */
};

/** Returns the number of crashes that no completed request has cleared. */
uint32_t bd_suspect_uncleared (const struct suspect *suspect);

enum bd_suspicion bd_suspicion_by (const struct bd_suspect_evidence *evidence);

/** Returns the suspicion by all strikes, also those that rivals explain. */
enum bd_suspicion bd_suspect_suspicion (const struct suspect *suspect);

#endif
