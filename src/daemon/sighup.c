#include "daemon/sighup.h"

#include "common/log.h"

#include <pthread.h>
#include <signal.h>

/* Ends the thread; the daemons do not use this signal otherwise. */
#define STOP_SIGNAL SIGUSR2

static pthread_t signal_thread;

static void
block_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGHUP);
  sigaddset (set, STOP_SIGNAL);
  pthread_sigmask (SIG_BLOCK, set, NULL);
}

static void *
wait_for_signals (void *context)
{
  sigset_t set;
  siginfo_t info;
  int number;

  (void)context;
  block_signals (&set);
  while ((number = sigwaitinfo (&set, &info)) != STOP_SIGNAL)
    if (number == SIGHUP)
      bd_log (BD_EVENT_HANGUP, "sender=%ld code=%d", (long)info.si_pid,
              info.si_code);
  return NULL;
}

int
bd_sighup_start (void)
{
  sigset_t set;

  block_signals (&set);
  return pthread_create (&signal_thread, NULL, wait_for_signals, NULL) == 0
             ? BD_OK
             : BD_ERR_INTERNAL;
}

void
bd_sighup_stop (void)
{
  pthread_kill (signal_thread, STOP_SIGNAL);
  pthread_join (signal_thread, NULL);
}
