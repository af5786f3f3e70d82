/**
 * @file outbox.h
 * Collects items for other instances and sends those of an instance together,
 * each more than once, because datagrams get lost.
 */
#ifndef BD_OUTBOX_H
#define BD_OUTBOX_H

#include "gateway/mesh.h"

#include <uv.h>

struct bd_outbox;

/**
 * KIND is that of the messages: BD_COORDINATION_REPORTS or
 * BD_COORDINATION_ORIGINS.  Returns NULL when out of memory.
 */
struct bd_outbox *bd_outbox_create (uv_loop_t *loop,
                                    enum bd_coordination_kind kind);

/** Sets the mesh that messages are sent through; nothing is added before. */
void bd_outbox_set_mesh (struct bd_outbox *outbox, struct bd_mesh *mesh);

/** Add an item for the instance at IP to an outbox of its kind. */
void bd_outbox_add_report (struct bd_outbox *outbox, uint32_t ip,
                           const struct bd_coordination_report *report);
void bd_outbox_add_origin (struct bd_outbox *outbox, uint32_t ip,
                           const struct bd_origin_notice *notice);

#endif
