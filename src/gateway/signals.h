/**
 * @file signals.h
 * The signals that the gateway handles on its event loop: SIGTERM, SIGINT and
 * SIGHUP.
 */
#ifndef BD_SIGNALS_H
#define BD_SIGNALS_H

#include <uv.h>

#define BD_SIGNALS_COUNT 3

struct bd_signals
{
  uv_signal_t handles[BD_SIGNALS_COUNT];
};

/**
 * Blocks the signals until bd_signals_start () handles them.  To be called
 * first in main ().
 */
void bd_signals_block (void);

/** Handles the signals on LOOP: each calls ON_SIGNAL with CONTEXT as data. */
void bd_signals_start (struct bd_signals *signals, uv_loop_t *loop,
                       uv_signal_cb on_signal, void *context);

#endif
