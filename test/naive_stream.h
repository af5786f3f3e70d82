/* Naive implementation of the stream: keeps all chunks of the attempt and
   joins them for each call. */
#ifndef NAIVE_STREAM_H
#define NAIVE_STREAM_H

#include "stream/stream.h"

#include <glib.h>

struct naive_stream
{
  uint32_t attempt;
  GPtrArray *chunks; /* GString by sequence number, or NULL. */
  int64_t count;     /* Number of chunks; -1: not known yet. */
  bool broken;
  gsize offset;             /* Offset in OUT at which the attempt begins. */
  GString *out;             /* All delivered bytes. */
  gsize retained_max_bytes; /* Limit of retained bytes of OUT. */
};

struct naive_stream *naive_stream_create (void);
void naive_stream_destroy (struct naive_stream *n);
void naive_stream_restart (struct naive_stream *n, uint32_t attempt);
int naive_stream_resume (struct naive_stream *n, uint32_t attempt,
                         uint64_t offset);
int naive_stream_chunk (struct naive_stream *n, uint32_t attempt,
                        uint64_t sequence, struct bd_chunk data);
int naive_stream_end (struct naive_stream *n, uint32_t attempt,
                      uint64_t count);
bool naive_stream_whole (const struct naive_stream *n);
uint64_t naive_stream_delivered (const struct naive_stream *n);

#endif
