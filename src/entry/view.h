/**
 * @file view.h
 * The configuration that traffic threads read, published by RCU.
 */
#ifndef BD_VIEW_H
#define BD_VIEW_H

#include "configuration/config.h"

struct bd_view;

struct bd_view *bd_view_create (void);

/** Frees the view; no reader may be left. */
void bd_view_destroy (struct bd_view *view);

/** Control thread: publishes SNAPSHOT, which the view then owns. */
void bd_view_publish (struct bd_view *view,
                      struct bd_config_snapshot *snapshot);

/**
 * Traffic threads, registered with RCU: starts to read.  Returns the
 * snapshot, or NULL when none is published; valid until bd_view_leave ().
 */
const struct bd_config_snapshot *bd_view_enter (struct bd_view *view);
void bd_view_leave (void);

#endif
