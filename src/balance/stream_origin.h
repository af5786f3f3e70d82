/**
 * @file stream_origin.h
 * Remembers which software version began a stream, so that another attempt of
 * its caller goes on at the same version.
 *
 * It is known in two ways.  Instances tell it when a stream begins; that is
 * exact.  And runners list the parts of prompts in their caches: a part that
 * only one request has is held by the runner that read it, also after all
 * instances have ended.  Whatever contradicts itself is uncertain, and what
 * does not fit into the tables is forgotten; neither makes a wrong version.
 */
#ifndef BD_STREAM_ORIGIN_H
#define BD_STREAM_ORIGIN_H

#include "balance/software.h"

/** A stream and the software version that began it. */
struct bd_stream_origin
{
  uint64_t stream;    /**< Number of the stream; never 0. */
  uint64_t software;  /**< Hash of the version, or BD_SOFTWARE_UNCERTAIN. */
  int64_t expires_ms; /**< No attempt continues the stream after that. */
};

struct bd_stream_origins;

/** Returns NULL when out of memory. */
struct bd_stream_origins *bd_stream_origins_create (void);
void bd_stream_origins_destroy (struct bd_stream_origins *origins);

/**
 * Returns the number of the stream that the caller's attempt ATTEMPT_ID began.
 * Attempts of other workspaces have other numbers, whatever their identifiers.
 * 0 if ATTEMPT_ID is empty.
 */
uint64_t bd_stream_number (struct bd_chunk attempt_id,
                           struct bd_chunk workspace);

/** Records the origin of a stream. */
void bd_stream_origins_record (struct bd_stream_origins *origins,
                               const struct bd_stream_origin *origin,
                               int64_t now_ms);

/** Records that a runner of SOFTWARE lists PART, a hash other than 0. */
void bd_stream_origins_record_holder (struct bd_stream_origins *origins,
                                      uint64_t part, uint64_t software,
                                      int64_t now_ms);

/**
 * Returns the version that began STREAM, BD_SOFTWARE_UNCERTAIN, or
 * BD_SOFTWARE_ANY if nothing is known of it.
 */
uint64_t bd_stream_origins_find (const struct bd_stream_origins *origins,
                                 uint64_t stream, int64_t now_ms);

/**
 * Returns the version of the runners that listed PART, BD_SOFTWARE_UNCERTAIN
 * if they were of several, or BD_SOFTWARE_ANY if none did.
 */
uint64_t
bd_stream_origins_find_holder (const struct bd_stream_origins *origins,
                               uint64_t part, int64_t now_ms);

#endif
