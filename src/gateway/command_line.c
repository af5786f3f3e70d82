#include "gateway/command_line.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#define PROGRAM "basildock-gateway"
/* Default limit of low-severity log lines per second. */
#define LOG_LINES_PER_S_DEFAULT 400
#define LOG_LINES_PER_S_MAX 1000000

/* The options as an argtable2 table. */
struct options
{
  struct arg_str *path;
  struct arg_int *level;
  struct arg_int *lines;
  struct arg_lit *check;
  struct arg_lit *version;
  struct arg_lit *help;
  struct arg_end *end;
};

#define OPTION_COUNT (sizeof (struct options) / sizeof (void *))

static bool
init_options (struct options *options, const char *variable)
{
  static char path_help[64];

  snprintf (path_help, sizeof path_help, "settings (%s)", variable);
  options->path = arg_str0 ("s", "settings", "FILE", path_help);
  options->level = arg_int0 (NULL, "log-level", "N",
                             "least severity written, 3 (error) to 7 (debug)");
  options->lines
      = arg_int0 (NULL, "log-lines-per-s", "N",
                  "ordinary log lines in a second at most; 0: any number");
  options->check = arg_lit0 (NULL, "check", "read the settings and end");
  options->version = arg_lit0 (NULL, "version", "print the version");
  options->help = arg_lit0 ("h", "help", "print this help");
  options->end = arg_end (4);
  if (arg_nullcheck ((void **)options) != 0)
    return false;
  options->level->ival[0] = BD_SEVERITY_INFO;
  options->lines->ival[0] = LOG_LINES_PER_S_DEFAULT;
  return true;
}

/* Returns whether the options are valid; prints errors to stderr. */
static bool
check_options (const struct options *options, int errors, const char *path,
               const char *variable)
{
  if (errors > 0)
    arg_print_errors (stderr, options->end, PROGRAM);
  if (options->level->ival[0] < BD_SEVERITY_ERROR
      || options->level->ival[0] > BD_SEVERITY_DEBUG)
    {
      fputs (PROGRAM ": --log-level must be 3 to 7\n", stderr);
      errors++;
    }
  if (options->lines->ival[0] < 0
      || options->lines->ival[0] > LOG_LINES_PER_S_MAX)
    {
      fputs (PROGRAM ": --log-lines-per-s must be 0 to 1000000\n", stderr);
      errors++;
    }
  if (errors == 0 && !path)
    fprintf (stderr,
             PROGRAM ": no settings file given; use --settings or %s\n",
             variable);
  return errors == 0 && path;
}

static enum bd_command_line_result
read_options (int argc, char **argv, struct options *options,
              const char *variable, struct bd_command_line *line)
{
  int errors = arg_parse (argc, argv, (void **)options);

  line->settings_path = getenv (variable);
  if (options->help->count > 0)
    {
      fputs ("usage: " PROGRAM, stdout);
      arg_print_syntax (stdout, (void **)options, "\n");
      arg_print_glossary (stdout, (void **)options, "  %-24s %s\n");
      return BD_COMMAND_LINE_DONE;
    }
  if (options->version->count > 0)
    {
      puts (PROGRAM " " BD_VERSION);
      return BD_COMMAND_LINE_DONE;
    }
  if (options->path->count > 0)
    line->settings_path = options->path->sval[0];
  if (!check_options (options, errors, line->settings_path, variable))
    return BD_COMMAND_LINE_BAD;
  line->log_threshold = (enum bd_severity)options->level->ival[0];
  line->log_lines_per_s = (uint32_t)options->lines->ival[0];
  line->check_only = options->check->count > 0;
  return BD_COMMAND_LINE_RUN;
}

enum bd_command_line_result
bd_command_line_read (int argc, char **argv, const char *variable,
                      struct bd_command_line *line)
{
  struct options options;
  enum bd_command_line_result result = BD_COMMAND_LINE_BAD;

  if (init_options (&options, variable))
    result = read_options (argc, argv, &options, variable, line);
  arg_freetable ((void **)&options, OPTION_COUNT);
  return result;
}
