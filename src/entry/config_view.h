/**
 * @file config_view.h
 * The active configuration, published to the HTTP threads by RCU.
 */
#ifndef BD_CONFIG_VIEW_H
#define BD_CONFIG_VIEW_H

#include "configuration/config.h"

struct bd_config_view;

struct bd_config_view *bd_config_view_create (void);

/** Frees the view; no thread may be reading it. */
void bd_config_view_destroy (struct bd_config_view *view);

/**
 * Control thread: publishes SNAPSHOT, which the view then owns.  Waits until
 * no reader uses the previous one, and releases that.
 */
void bd_config_view_publish (struct bd_config_view *view,
                             struct bd_config_snapshot *snapshot);

/**
 * Enters an RCU read-side critical section; the thread must be registered with
 * RCU.  Returns the snapshot, valid until bd_config_view_read_unlock (), or
 * NULL when none is published.
 */
const struct bd_config_snapshot *
bd_config_view_read_lock (struct bd_config_view *view);
void bd_config_view_read_unlock (void);

#endif
