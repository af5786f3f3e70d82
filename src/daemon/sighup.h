/**
 * @file sighup.h
 * Handling of SIGHUP.  A daemon has nothing to reload and does not terminate
 * on SIGHUP; each one is logged with its sender.
 */
#ifndef BD_SIGHUP_H
#define BD_SIGHUP_H

/**
 * Blocks SIGHUP and starts a thread that waits for it.  Must be called before
 * any other thread starts, since threads inherit the signal mask.  Returns
 * BD_OK or BD_ERR_INTERNAL.
 */
int bd_sighup_start (void);

/** Ends the thread.  SIGHUP stays blocked and has no effect. */
void bd_sighup_stop (void);

#endif
