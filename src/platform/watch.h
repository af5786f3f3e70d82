/**
 * @file watch.h
 * Reads and watches the platform's service, on a thread of its own.
 *
 * Blocking queries: GET /v1/kv/NAME?index=N&wait=Ns answers when the index
 * of the key is above N or the wait is over, with header X-Index and the
 * value as the body; GET /v1/instances works alike.
 */
#ifndef BD_WATCH_H
#define BD_WATCH_H

#include "basildock.h"

/** Receives documents on the watcher's thread; embed as first member. */
struct bd_watch_sink
{
  /** A document ("manifest", "contract/…", "pool/…", or "instances"). */
  void (*document) (struct bd_watch_sink *sink, struct bd_chunk name,
                    struct bd_chunk json);
  /** The service became reachable or unreachable. */
  void (*reachable) (struct bd_watch_sink *sink, bool up);
  /**
   * A read of NAME that was sent at SENT_MS (monotonic) was answered, after
   * the document, if it was news.  May be NULL.
   */
  void (*confirmed) (struct bd_watch_sink *sink, struct bd_chunk name,
                     int64_t sent_ms);
};

struct bd_watch;

struct bd_watch_settings
{
  const char *url; /**< Base, e.g. http://127.0.0.1:8500 */
  uint64_t seed;   /**< Feeds the retry jitter. */
  int32_t wait_s;  /**< How long a blocking query may wait. */
  /** Time that an answer may take beyond the wait. */
  int32_t answer_timeout_ms;
  int32_t retry_min_ms; /**< First delay after a failure, doubled by each. */
  int32_t retry_max_ms;
};

/** Starts the thread with SETTINGS, idle at first.  Returns NULL on error. */
struct bd_watch *
bd_watch_create_with (const struct bd_watch_settings *settings,
                      struct bd_watch_sink *sink);

/** Starts the thread with the usual times, idle at first.  SEED feeds the
 * retry jitter. */
struct bd_watch *bd_watch_create (const char *url, uint64_t seed,
                                  struct bd_watch_sink *sink);
void bd_watch_destroy (struct bd_watch *watch);

/** Holds (or stops holding) blocking queries on manifest and instances. */
void bd_watch_hold (struct bd_watch *watch, bool hold);

/**
 * Fetches one document once.  Any thread.  While the service is unreachable
 * the request is kept and only one probe at a time goes out; asking again
 * for a name that waits has no effect.
 */
void bd_watch_fetch (struct bd_watch *watch, struct bd_chunk name);

/** Calls made to the service so far. */
uint64_t bd_watch_calls (const struct bd_watch *watch);

#endif
