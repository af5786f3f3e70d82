/* Tests of signals that arrive while basildock-gateway starts. */
#include "support_port.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdbool.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define EXIT_TIMEOUT_MS 20000

struct child
{
  GMainLoop *loop;
  int status;
  bool exited;
};

/* Writes settings of a gateway on free ports.  No store listens at its
   address. */
static void
write_settings (const char *file)
{
  char callers[SUPPORT_ADDRESS_BYTES];
  char readiness[SUPPORT_ADDRESS_BYTES];
  char internal[SUPPORT_ADDRESS_BYTES];
  char store[SUPPORT_ADDRESS_BYTES];
  char *text;

  support_free_address (callers);
  support_free_address (readiness);
  support_free_address (internal);
  support_free_address (store);
  text = g_strdup_printf (
      "{\"instance\":\"g\",\"zone\":\"z\",\"ip\":\"127.0.0.1\","
      "\"callers\":\"%s\",\"readiness\":\"%s\",\"internal_port\":%s,"
      "\"seeds\":[],\"store\":\"%s\",\"store_silence_ms\":3000,"
      "\"cpu_share\":1,\"cores\":1,"
      "\"grace_s\":2,\"retry_ratio\":0.2,\"retry_slack\":10,"
      "\"retry_window_s\":10}\n",
      callers, readiness, strchr (internal, ':') + 1, store);
  g_assert_true (g_file_set_contents (file, text, -1, NULL));
  g_free (text);
}

/* Runs in the child before the program is executed.  Blocks and raises the
   signals, so that they are pending from the program's first instruction
   on. */
static void
block_and_raise_signals (gpointer data)
{
  sigset_t set;

  (void)data;
  sigemptyset (&set);
  sigaddset (&set, SIGHUP);
  sigaddset (&set, SIGTERM);
  sigprocmask (SIG_BLOCK, &set, NULL);
  kill (getpid (), SIGHUP);
  kill (getpid (), SIGTERM);
}

static void
on_exit_of_child (GPid pid, int status, gpointer data)
{
  struct child *child = data;

  (void)pid;
  child->status = status;
  child->exited = true;
  g_main_loop_quit (child->loop);
}

static gboolean
on_timeout (gpointer data)
{
  g_main_loop_quit (((struct child *)data)->loop);
  return G_SOURCE_REMOVE;
}

/* Guards against a gateway that is killed, or misses a stop, when SIGHUP
   (reload the settings) and SIGTERM arrive before it has installed its
   handlers.  It must exit with status 0. */
static void
test_signals_at_start (void)
{
  char *folder = g_dir_make_tmp ("basildock-XXXXXX", NULL);
  char *file = g_build_filename (folder, "settings.json", NULL);
  char *argv[] = { (char *)BUILD_DIR "/basildock-gateway",
                   (char *)"--settings", file, NULL };
  struct child child = { .loop = g_main_loop_new (NULL, FALSE) };
  GPid pid;

  write_settings (file);
  g_assert_true (g_spawn_async (
      NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL,
      block_and_raise_signals, NULL, &pid, NULL));
  g_child_watch_add (pid, on_exit_of_child, &child);
  g_timeout_add (EXIT_TIMEOUT_MS, on_timeout, &child);
  g_main_loop_run (child.loop);
  if (!child.exited)
    kill (pid, SIGKILL);
  g_assert_true (child.exited);
  g_assert_true (WIFEXITED (child.status));
  g_assert_cmpint (WEXITSTATUS (child.status), ==, 0);
  g_unlink (file);
  g_rmdir (folder);
  g_free (file);
  g_free (folder);
  g_main_loop_unref (child.loop);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/startup/signals", test_signals_at_start);
  return g_test_run ();
}
