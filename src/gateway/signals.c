#include "gateway/signals.h"

#include <signal.h>

static const int numbers[BD_SIGNALS_COUNT] = { SIGTERM, SIGINT, SIGHUP };

static void
mask_signals (int how)
{
  sigset_t set;

  sigemptyset (&set);
  for (size_t i = 0; i < BD_SIGNALS_COUNT; i++)
    sigaddset (&set, numbers[i]);
  pthread_sigmask (how, &set, NULL);
}

void
bd_signals_block (void)
{
  mask_signals (SIG_BLOCK);
}

void
bd_signals_start (struct bd_signals *signals, uv_loop_t *loop,
                  uv_signal_cb on_signal, void *context)
{
  for (size_t i = 0; i < BD_SIGNALS_COUNT; i++)
    {
      uv_signal_init (loop, &signals->handles[i]);
      signals->handles[i].data = context;
      uv_signal_start (&signals->handles[i], on_signal, numbers[i]);
    }
  mask_signals (SIG_UNBLOCK);
}
