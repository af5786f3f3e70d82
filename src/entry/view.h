/**
 * @file view.h
 * The configuration that traffic threads read, published by RCU.
 */
#ifndef BD_VIEW_H
#define BD_VIEW_H

#include "configuration/config.h"

struct bd_config_view;

struct bd_config_view *bd_config_view_create (void);

/** Frees the view; no reader may be left. */
void bd_config_view_destroy (struct bd_config_view *view);

/** Control thread: publishes SNAPSHOT, which the view then owns. */
void bd_config_view_publish (struct bd_config_view *view,
                             struct bd_config_snapshot *snapshot);

/**
 * Traffic threads, registered with RCU: starts to read.  Returns the
 * snapshot, or NULL when none is published; valid until
 * bd_config_view_read_unlock ().
 */
const struct bd_config_snapshot *
bd_config_view_read_lock (struct bd_config_view *view);
void bd_config_view_read_unlock (void);

#endif
