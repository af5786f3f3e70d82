/**
 * @file admin_state.h
 * Lets the threads of the admin server query the control thread for its
 * state.
 */
#ifndef BD_ADMIN_STATE_H
#define BD_ADMIN_STATE_H

#include "common/admin.h"

/** The parts of the state that can be queried. */
enum bd_admin_state_kind
{
  BD_ADMIN_STATE_STATUS = 0,
  BD_ADMIN_STATE_RUNNERS,
  BD_ADMIN_STATE_CONTRACTS
};

struct bd_admin_state;

/** Returns a new state, which is not ready, or NULL. */
struct bd_admin_state *bd_admin_state_create (void);

/** Frees STATE.  The admin server must have been destroyed before. */
void bd_admin_state_destroy (struct bd_admin_state *state);

/** Returns the source to pass to bd_admin_create (). */
struct bd_admin_source *bd_admin_state_source (struct bd_admin_state *state);

/** Sets whether the daemon accepts new work.  Thread-safe. */
void bd_admin_state_set_ready (struct bd_admin_state *state, bool ready);

/**
 * Serves a pending query, if any: WRITE appends the JSON object for KIND and
 * returns BD_OK or an error.  The control thread calls this at each tick.
 */
void bd_admin_state_serve (struct bd_admin_state *state,
                           int (*write) (void *context,
                                         enum bd_admin_state_kind kind,
                                         struct bd_buffer *json),
                           void *context);

#endif
