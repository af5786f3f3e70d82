/**
 * @file chunk.h
 * Writes the chunked transfer coding.
 */
#ifndef BD_HTTP_CHUNK_H
#define BD_HTTP_CHUNK_H

#include "common/string.h"

/**
 * Appends DATA to OUT as a chunk, or nothing if there is no memory; empty DATA
 * is no chunk.  Returns BD_OK or BD_ERR_NOMEM.
 */
int bd_http_chunk_append (struct bd_buffer *out, struct bd_chunk data);

#endif
