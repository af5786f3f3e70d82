/**
 * @file state.h
 * Lets the admin port's threads ask the control thread for its state.
 */
#ifndef BD_STATE_H
#define BD_STATE_H

#include "common/admin.h"

/** What can be asked for. */
enum bd_state_kind
{
  BD_STATE_STATUS = 0,
  BD_STATE_RUNNERS,
  BD_STATE_CONTRACTS
};

struct bd_state;

/** Returns a new state, not ready, or NULL. */
struct bd_state *bd_state_create (void);

/** The admin port must have been destroyed before. */
void bd_state_destroy (struct bd_state *state);

/** For bd_admin_create (). */
struct bd_admin_source *bd_state_source (struct bd_state *state);

/** Whether the daemon takes new work.  Any thread. */
void bd_state_set_ready (struct bd_state *state, bool ready);

/**
 * Control thread, at each tick: when something was asked, has WRITE append
 * the JSON object for KIND.
 */
void bd_state_serve (struct bd_state *state,
                     int (*write) (void *context, enum bd_state_kind kind,
                                   struct bd_buffer *json),
                     void *context);

#endif
