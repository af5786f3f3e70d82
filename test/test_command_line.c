/* Tests of the gateway's command line. */
#include "gateway/command_line.h"

#include <glib.h>

#define VARIABLE "BASILDOCK_TEST_SETTINGS"

static enum bd_command_line_result
read_line (const char *text, struct bd_command_line *line)
{
  char **argv = g_strsplit (text, " ", -1);
  enum bd_command_line_result result
      = bd_command_line_read ((int)g_strv_length (argv), argv, VARIABLE, line);

  if (result == BD_COMMAND_LINE_RUN)
    line->settings_path = g_intern_string (line->settings_path);
  g_strfreev (argv);
  return result;
}

static void
test_defaults (void)
{
  struct bd_command_line line;

  g_setenv (VARIABLE, "from-environment", TRUE);
  g_assert_cmpint (read_line ("x", &line), ==, BD_COMMAND_LINE_RUN);
  g_assert_cmpstr (line.settings_path, ==, "from-environment");
  g_assert_cmpint (line.log_threshold, ==, BD_SEVERITY_INFO);
  g_assert_cmpuint (line.log_lines_per_s, ==, 400);
  g_assert_false (line.check_only);
}

static void
test_options (void)
{
  struct bd_command_line line;

  g_assert_cmpint (read_line ("x -s file --log-level=3 --log-lines-per-s=0 "
                              "--check",
                              &line),
                   ==, BD_COMMAND_LINE_RUN);
  g_assert_cmpstr (line.settings_path, ==, "file");
  g_assert_cmpint (line.log_threshold, ==, BD_SEVERITY_ERROR);
  g_assert_cmpuint (line.log_lines_per_s, ==, 0);
  g_assert_true (line.check_only);
}

/* Values out of range, unknown options and a missing settings file end the
   program. */
static void
test_rejected (void)
{
  static const char *const lines[] = { "x -s f --log-level=2",
                                       "x -s f --log-level=8",
                                       "x -s f --log-level=x",
                                       "x -s f --log-lines-per-s=-1",
                                       "x -s f --log-lines-per-s=1000001",
                                       "x -s f --nope",
                                       "x -s f -s g",
                                       "x f" };
  struct bd_command_line line;

  g_setenv (VARIABLE, "f", TRUE);
  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    g_assert_cmpint (read_line (lines[i], &line), ==, BD_COMMAND_LINE_BAD);
  g_unsetenv (VARIABLE);
  g_assert_cmpint (read_line ("x", &line), ==, BD_COMMAND_LINE_BAD);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/command-line/defaults", test_defaults);
  g_test_add_func ("/command-line/options", test_options);
  g_test_add_func ("/command-line/rejected", test_rejected);
  return g_test_run ();
}
