/* basildockd: runs as an entry or as a sidecar, depending on the role. */

#include "common/log.h"
#include "common/settings.h"
#include "daemon/sighup.h"
#include "entry/entry.h"
#include "sidecar/sidecar.h"

#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#define EXIT_SETTINGS 2
#define EXIT_START 3

static volatile sig_atomic_t stop;

static void
on_signal (int number)
{
  (void)number;
  stop = 1;
}

static void
catch_signals (void)
{
  struct sigaction action;

  memset (&action, 0, sizeof action);
  action.sa_handler = on_signal;
  sigemptyset (&action.sa_mask);
  sigaction (SIGTERM, &action, NULL);
  sigaction (SIGINT, &action, NULL);
  action.sa_handler = SIG_IGN;
  sigaction (SIGPIPE, &action, NULL);
}

static int
run_entry (const struct bd_settings *settings)
{
  int error;
  struct bd_entry *entry = bd_entry_create (settings, &error);

  if (!entry)
    return error;
  error = bd_entry_run (entry, &stop);
  bd_entry_destroy (entry);
  return error;
}

static int
run_sidecar (const struct bd_settings *settings)
{
  int error;
  struct bd_sidecar *sidecar = bd_sidecar_create (settings, &error);

  if (!sidecar)
    return error;
  error = bd_sidecar_run (sidecar, &stop);
  bd_sidecar_destroy (sidecar);
  return error;
}

int
main (int argc, char **argv)
{
  struct bd_settings settings;
  int rc = bd_settings_read (argc, argv, &settings);

  if (rc == 1)
    return 0;
  if (rc != BD_OK)
    return EXIT_SETTINGS;
  bd_log_init (settings.instance, (enum bd_severity)settings.log_level);
  if (bd_sighup_start () != BD_OK)
    return EXIT_START;
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return EXIT_START;
  catch_signals ();
  if (bd_log_start_thread (STDOUT_FILENO, (uint32_t)settings.log_lines_per_s)
      != BD_OK)
    return EXIT_START;
  bd_log (BD_EVENT_DAEMON_START, "version=%s role=%s zone=%s", BD_VERSION,
          settings.role == BD_ROLE_ENTRY ? "entry" : "sidecar", settings.zone);
  rc = settings.role == BD_ROLE_ENTRY ? run_entry (&settings)
                                      : run_sidecar (&settings);
  bd_log (BD_EVENT_DAEMON_STOP, "result=%s", bd_error_answer (rc)->code);
  bd_sighup_stop ();
  bd_log_stop_thread ();
  curl_global_cleanup ();
  bd_settings_release (&settings);
  return rc == BD_OK ? 0 : EXIT_START;
}
