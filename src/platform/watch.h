/**
 * @file watch.h
 * Reads and watches the configuration service of the platform on a thread of
 * its own.
 *
 * The service supports blocking queries: GET /v1/kv/NAME?index=N&wait=Ns
 * returns when the index of the key is above N or the wait is over, with the
 * header X-Index and the value as the body.  GET /v1/instances works the same
 * way.
 */
#ifndef BD_WATCH_H
#define BD_WATCH_H

#include "basildock.h"

/** Callbacks, called on the watcher's thread; embed as the first member. */
struct bd_watch_sink
{
  /** A document arrived ("manifest", "contract/…", "pool/…" or
      "instances"). */
  void (*document) (struct bd_watch_sink *sink, struct bd_chunk name,
                    struct bd_chunk json);
  /** The service became reachable or unreachable. */
  void (*reachable) (struct bd_watch_sink *sink, bool up);
  /**
   * A read of NAME, sent at SENT_MS (monotonic clock), succeeded.  Called
   * after document (), which is left out when the value of a blocking query
   * has not changed.  May be NULL.
   */
  void (*confirmed) (struct bd_watch_sink *sink, struct bd_chunk name,
                     int64_t sent_ms);
};

struct bd_watch;

struct bd_watch_settings
{
  const char *url; /**< Base URL, e.g. http://127.0.0.1:8500 */
  uint64_t seed;   /**< Seeds the retry jitter. */
  int32_t wait_s;  /**< Wait time of a blocking query at the service. */
  /** Timeout of a request, in addition to the wait time. */
  int32_t answer_timeout_ms;
  int32_t retry_min_ms; /**< Delay after the first failure, doubled by each
                           further one. */
  int32_t retry_max_ms;
};

/** Starts the thread with SETTINGS.  It sends nothing before the first
 * bd_watch_enable_queries () or bd_watch_fetch ().  Returns NULL on error. */
struct bd_watch *
bd_watch_create_with_settings (const struct bd_watch_settings *settings,
                               struct bd_watch_sink *sink);

/** Like bd_watch_create_with_settings (), with the default times.  SEED seeds
 * the retry jitter. */
struct bd_watch *bd_watch_create (const char *url, uint64_t seed,
                                  struct bd_watch_sink *sink);
void bd_watch_destroy (struct bd_watch *watch);

/** Starts or stops blocking queries for the manifest and the instances.  Any
 * thread. */
void bd_watch_enable_queries (struct bd_watch *watch, bool hold);

/**
 * Fetches one document once.  Any thread.  While the service is unreachable,
 * requests stay queued and one at a time is sent as a probe.  A name that is
 * queued already is not queued again.
 */
void bd_watch_fetch (struct bd_watch *watch, struct bd_chunk name);

/** Number of requests sent to the service so far.  Any thread. */
uint64_t bd_watch_calls (const struct bd_watch *watch);

#endif
