/**
 * @file support_mesh.h
 * A mesh of which a test wants the messages only.
 */
#ifndef SUPPORT_MESH_H
#define SUPPORT_MESH_H

#include "gateway/mesh.h"

/** A handler whose on_message is ON_MESSAGE and that ignores the rest. */
struct bd_mesh_handler support_mesh_handler (void (*on_message) (
    void *context, uint32_t ip, const struct bd_placing_message *message));

#endif
