/**
 * @file metrics.h
 * Counters and histograms of a daemon.  All functions but create and destroy
 * are thread-safe and lock-free.
 */
#ifndef BD_METRICS_H
#define BD_METRICS_H

#include "common/string.h"

/** Most pairs of workspace and class with metrics of their own; further pairs
    share one entry. */
#define BD_METRICS_PAIRS_MAX 2048

/* Identifier, metric name, help text. */
#define BD_COUNTER_TABLE(X)                                                   \
  X (REQUESTS, "requests", "Requests received")                               \
  X (ANSWERED, "answered", "Requests answered whole")                         \
  X (RETRIES, "retries", "Requests placed again")                             \
  X (HEDGES, "hedges", "Second attempts before the first token")              \
  X (SHED, "shed", "Queued requests shed for work of a higher tier")          \
  X (EXPIRED, "expired", "Queued requests whose deadline passed")             \
  X (TOKENS_IN, "tokens_in", "Prompt tokens")                                 \
  X (TOKENS_OUT, "tokens_out", "Generated tokens")                            \
  X (WASTED_TOKENS, "wasted_tokens", "Generated tokens not delivered")        \
  X (BILLED, "billed", "Billing lines written")                               \
  X (CONFIG_OFFERS, "config_offers",                                          \
     "Documents offered to the configuration")                                \
  X (PLATFORM_CALLS, "platform_calls", "Calls to the configuration service")

/* Counters of each pair of workspace and class. */
#define BD_CLASS_COUNTER_TABLE(X)                                             \
  X (REQUESTS, "requests", "Requests received")                               \
  X (ANSWERED, "answered", "Requests answered whole")                         \
  X (ON_TARGET, "on_target", "Requests answered whole within their targets")  \
  X (REFUSED, "refused", "Requests refused")                                  \
  X (TOKENS_OUT, "tokens_out", "Generated tokens delivered")                  \
  X (WASTED_TOKENS, "wasted_tokens", "Generated tokens not delivered")

/* Duration histograms of each pair of workspace and class. */
#define BD_DURATION_TABLE(X)                                                  \
  X (FIRST_TOKEN, "first_token", "Time from arrival to the first token")      \
  X (TOKEN_GAP, "token_gap", "Time between two tokens")                       \
  X (WHOLE, "whole", "Time from arrival to the end of the answer")            \
  X (QUEUE_WAIT, "queue_wait", "Time from reservation to grant")

enum bd_counter
{
#define BD_COUNTER_ENUM(id, name, help) BD_COUNTER_##id,
  BD_COUNTER_TABLE (BD_COUNTER_ENUM) BD_COUNTER_COUNT
#undef BD_COUNTER_ENUM
};

enum bd_class_counter
{
#define BD_COUNTER_ENUM(id, name, help) BD_CLASS_COUNTER_##id,
  BD_CLASS_COUNTER_TABLE (BD_COUNTER_ENUM) BD_CLASS_COUNTER_COUNT
#undef BD_COUNTER_ENUM
};

enum bd_duration
{
#define BD_DURATION_ENUM(id, name, help) BD_DURATION_##id,
  BD_DURATION_TABLE (BD_DURATION_ENUM) BD_DURATION_COUNT
#undef BD_DURATION_ENUM
};

/** Purpose of a message between daemons. */
enum bd_traffic
{
  BD_TRAFFIC_CONTROL = 0, /**< Membership, configuration, reservations. */
  BD_TRAFFIC_WORK = 1,    /**< Request bodies and answers. */
  BD_TRAFFIC_COUNT
};

struct bd_metrics;

/** Metrics of one pair of workspace and class, owned by its bd_metrics. */
struct bd_class_metrics;

/** Returns new metrics, all zero, or NULL. */
struct bd_metrics *bd_metrics_create (void);
void bd_metrics_destroy (struct bd_metrics *metrics);

void bd_metrics_count (struct bd_metrics *metrics, enum bd_counter counter,
                       uint64_t n);

/** Counts a request that is rejected with ERROR (enum bd_error). */
void bd_metrics_refused (struct bd_metrics *metrics, int error);

/** Counts a message of BYTES that was sent to, or received from, a daemon. */
void bd_metrics_message (struct bd_metrics *metrics, bool sent,
                         enum bd_traffic traffic, size_t bytes);

uint64_t bd_metrics_value (const struct bd_metrics *metrics,
                           enum bd_counter counter);

/**
 * Returns the metrics of a pair, which are created at its first use.  Never
 * NULL: beyond BD_METRICS_PAIRS_MAX pairs, or without memory, it returns a
 * shared entry, which is exported as workspace and class "other".
 */
struct bd_class_metrics *bd_metrics_class (struct bd_metrics *metrics,
                                           struct bd_chunk workspace,
                                           struct bd_chunk class_name);

void bd_class_metrics_count (struct bd_class_metrics *metrics,
                             enum bd_class_counter counter, uint64_t n);

/** Adds a duration in microseconds. */
void bd_class_metrics_add (struct bd_class_metrics *metrics,
                           enum bd_duration duration, int64_t value_us);

/** Appends all metrics in the Prometheus text format.  Returns BD_OK or
    BD_ERR_NOMEM. */
int bd_metrics_write_text (const struct bd_metrics *metrics,
                           struct bd_buffer *buffer);

/** Appends all metrics as a JSON object.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_metrics_write_json (const struct bd_metrics *metrics,
                           struct bd_buffer *buffer);

#endif
