/**
 * @file support_mesh.h
 * Handler of a peer mesh for tests that only want its messages.
 */
#ifndef SUPPORT_MESH_H
#define SUPPORT_MESH_H

#include "gateway/mesh.h"

/** Returns a handler that calls ON_MESSAGE and ignores everything else. */
struct bd_mesh_handler support_mesh_handler (
    void (*on_message) (void *context, uint32_t ip,
                        const struct bd_coordination_message *message));

#endif
