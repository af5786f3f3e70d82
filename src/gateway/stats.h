/**
 * @file stats.h
 * Counters, gauges and a latency histogram of the gateway in the text format
 * of Prometheus.
 */
#ifndef BD_STATS_H
#define BD_STATS_H

#include "common/string.h"

/* Counters: identifier, name, help text. */
#define BD_STAT_TABLE(X)                                                      \
  X (REQUESTS, "requests", "Requests received whole")                         \
  X (ANSWERED, "answered", "Runners' answers delivered whole")                \
  X (FAILED, "failed", "Requests that ended without a runner's answer")       \
  X (REFUSED, "refused", "Requests refused before any run")                   \
  X (ABORTED, "aborted", "Requests whose caller went away")                   \
  X (RETRIES, "retries", "Requests sent to another runner")                   \
  X (RETRIES_DENIED, "retries_denied",                                        \
     "Requests to which the retry budget refused a retry")                    \
  X (RESUMES, "resumes", "Streams resumed at another runner")                 \
  X (CONTINUED, "continued", "Streams continued by their callers")            \
  X (BROKEN, "broken", "Streams that ended incomplete")                       \
  X (EVENTS, "events", "Stream events passed on")                             \
  X (CONNECTS, "connects", "Connections made by the instance")                \
  X (LEAVING, "leaving", "Runners whose answers told that they leave")        \
  X (PAUSES, "pauses", "Answers in which a runner asked for a pause")         \
  X (LIMITS, "limits", "Answers in which a runner named a limit")             \
  X (LIMITED_SENT, "limited_sent", "Requests sent to runners with a limit")   \
  X (OTHER_ZONE, "other_zone", "Requests sent to runners in other zones")     \
  X (OTHER_ZONE_PREFIX, "other_zone_prefix",                                  \
     "Requests sent to other zones for a prefix that is cached there")        \
  X (STORE_CALLS, "store_calls", "Calls to the platform's store")             \
  X (STORE_FAILURES, "store_failures", "Calls to the store that failed")      \
  X (ENTRIES_REFUSED, "entries_refused", "Entries of the store left out")     \
  X (ASKED, "asked", "Placements asked of another instance")                  \
  X (ASKS_UNANSWERED, "asks_unanswered", "Placements not answered in time")   \
  X (ANSWERS, "answers", "Placements decided for other instances")            \
  X (PEER_SENT, "peer_sent", "Datagrams sent to peers")                       \
  X (PEER_SENT_BYTES, "peer_sent_bytes", "Bytes of datagrams sent to peers")  \
  X (PEER_RECEIVED, "peer_received", "Datagrams received from peers")         \
  X (PEER_REFUSED, "peer_refused", "Datagrams that could not be read")

/* Gauges: identifier, name, help text. */
#define BD_GAUGE_TABLE(X)                                                     \
  X (ROUTING_VERSION, "routing_version", "Version of the routing in force")   \
  X (RUNNERS, "runners", "Runners that may get requests")                     \
  X (AVOIDED, "avoided", "Runners that are avoided because they fail")        \
  X (LIMITED, "limited", "Runners that limit their requests")                 \
  X (PEERS, "peers", "Instances heard from lately")                           \
  X (PEER_AGE_MS, "peer_age_ms", "Age of the oldest news of a live peer")     \
  X (ACTIVE, "active", "Requests in flight")                                  \
  X (CONNECTIONS, "connections", "Callers' connections")                      \
  X (BUDGET_WAITERS, "budget_waiters", "Requests that wait for retry budget") \
  X (LEDGER, "ledger", "Requests of all instances that were placed here")     \
  X (STORE_AGE_MS, "store_age_ms", "Time since the store last answered")      \
  X (STORE_ERA, "store_era", "Times that the store came from an older copy")  \
  X (DISTRUSTED, "distrusted", "Runners whose entries may be outdated")

enum bd_stat
{
#define BD_STAT_ENUM(id, name, help) BD_STAT_##id,
  BD_STAT_TABLE (BD_STAT_ENUM) BD_STAT_COUNT
#undef BD_STAT_ENUM
};

enum bd_gauge
{
#define BD_STAT_ENUM(id, name, help) BD_GAUGE_##id,
  BD_GAUGE_TABLE (BD_STAT_ENUM) BD_GAUGE_COUNT
#undef BD_STAT_ENUM
};

struct bd_stats;

struct bd_stats *bd_stats_create (void);
void bd_stats_destroy (struct bd_stats *stats);

void bd_stats_count (struct bd_stats *stats, enum bd_stat stat, uint64_t n);
void bd_stats_set (struct bd_stats *stats, enum bd_gauge gauge, int64_t value);

/**
 * Counts a request that ended without a runner's response, by ERROR, an enum
 * bd_error: refused before any run, or failed.
 */
void bd_stats_refused (struct bd_stats *stats, int error);
void bd_stats_failed (struct bd_stats *stats, int error);

/** Adds the time to a complete response, or to the first event of a stream. */
void bd_stats_add_response_time (struct bd_stats *stats, int64_t time_us);

/** Appends all metrics to OUT.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_stats_write (const struct bd_stats *stats, struct bd_buffer *out);

#endif
