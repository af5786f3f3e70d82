/**
 * @file origin_outbox.h
 * Tells which software version began a stream to the instances that may be
 * asked for it: the coordinator of the stream's shard and those next in rank.
 */
#ifndef BD_ORIGIN_OUTBOX_H
#define BD_ORIGIN_OUTBOX_H

#include "gateway/mesh.h"

#include <uv.h>

struct bd_origin_outbox;

/**
 * IP is the address of this instance, in network byte order.  ORIGINS gets
 * what is told here, too.  Returns NULL when out of memory.
 */
struct bd_origin_outbox *
bd_origin_outbox_create (uv_loop_t *loop, uint32_t ip,
                         struct bd_stream_origins *origins);

/** Sets the mesh that messages are sent through; until then none is sent. */
void bd_origin_outbox_set_mesh (struct bd_origin_outbox *outbox,
                                struct bd_mesh *mesh);

/** Tells NOTICE about a stream of the shard with SHARD_KEY. */
void bd_origin_outbox_tell (struct bd_origin_outbox *outbox,
                            uint64_t shard_key,
                            const struct bd_origin_notice *notice);

#endif
