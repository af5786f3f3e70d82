#include "ctl/ctl.h"

#include "common/setting_table.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PARSE_ERRORS_MAX 20
#define LAST_MAX 100000
#define ADMIN_VARIABLE "BASILDOCK_ADMIN"

struct command
{
  const char *words[2];
  const char *usage;
  size_t word_count;  /* Words on the command line, without further files. */
  bool takes_files;   /* Allows any number of files after these words. */
  bool needs_address; /* Asks daemons, unless files are given. */
  bd_ctl_command run;
  const char *help;
};

static const struct command commands[] = {
  { { "status", NULL },
    "status",
    1,
    false,
    true,
    bd_ctl_status,
    "state of each daemon" },
  { { "runners", NULL },
    "runners",
    1,
    false,
    true,
    bd_ctl_runners,
    "runners and their load" },
  { { "contract", "check" },
    "contract check FILE",
    3,
    false,
    false,
    bd_ctl_contract_check,
    "checks a contract document" },
  { { "contract", "show" },
    "contract show",
    2,
    false,
    true,
    bd_ctl_contract_show,
    "contracts in force" },
  { { "histogram", NULL },
    "histogram",
    1,
    false,
    true,
    bd_ctl_histogram,
    "durations per workspace and class, as bars" },
  { { "events", NULL },
    "events",
    1,
    false,
    true,
    bd_ctl_events,
    "the last log lines" },
  { { "trace", NULL },
    "trace REQUEST-ID [FILE]...",
    2,
    true,
    true,
    bd_ctl_trace,
    "log lines of one request, of daemons or from log files (-: standard "
    "input)" },
  { { "explain", NULL },
    "explain REQUEST-ID FILE...",
    3,
    true,
    false,
    bd_ctl_explain,
    "how a request ended and what decided it, from log files" },
};

#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

struct command_line
{
  struct arg_str *admin;
  struct arg_lit *json;
  struct arg_str *workspace;
  struct arg_str *class_name;
  struct arg_str *duration;
  struct arg_int *last;
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_str *words;
  struct arg_end *end;
};

#define ARGUMENT_COUNT (sizeof (struct command_line) / sizeof (void *))

static bool
init_command_line (struct command_line *line)
{
  line->admin = arg_strn (NULL, "admin", "IP:PORT", 0, BD_CTL_ADDRESSES_MAX,
                          "admin port of a daemon; several may be given");
  line->json = arg_lit0 (NULL, "json", "prints JSON");
  line->workspace
      = arg_str0 (NULL, "workspace", "NAME", "shows this workspace only");
  line->class_name = arg_str0 (NULL, "class", "NAME", "shows this class only");
  line->duration
      = arg_str0 (NULL, "duration", "NAME",
                  "first_token (default), token_gap, whole or queue_wait");
  line->last = arg_int0 (NULL, "last", "N", "shows the last N lines only");
  line->help = arg_lit0 (NULL, "help", "shows this help and ends");
  line->version = arg_lit0 (NULL, "version", "shows the version and ends");
  line->words = arg_strn (NULL, NULL, "COMMAND", 0, BD_CTL_ARGUMENTS_MAX,
                          "one of those below");
  line->end = arg_end (PARSE_ERRORS_MAX);
  return arg_nullcheck ((void **)line) == 0;
}

static void
print_help (struct command_line *line)
{
  fputs ("usage: basildockctl", stdout);
  arg_print_syntax (stdout, (void **)line, "\n");
  puts ("Reads basildockd daemons over their admin ports; changes nothing.\n");
  arg_print_glossary (stdout, (void **)line, "  %-20s %s\n");
  puts ("\ncommands:");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    printf ("  %s\n      %s\n", commands[i].usage, commands[i].help);
  puts ("\nWithout --admin, the addresses stand in " ADMIN_VARIABLE
        ", separated by\ncommas.  Exit codes: 0 ok, 1 bad or not found, "
        "2 usage, 3 unreachable.");
}

static enum bd_ctl_exit
usage_error (const char *reason, const char *text)
{
  struct bd_buffer b = { 0 };

  bd_ctl_escape (bd_chunk_of (text), &b);
  fprintf (stderr, "basildockctl: %s: %s (see --help)\n", reason,
           b.data ? b.data : "");
  bd_buffer_clear (&b);
  return BD_CTL_USAGE;
}

static const struct command *
find_command (const struct arg_str *words)
{
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    {
      const struct command *command = &commands[i];

      if ((size_t)words->count < command->word_count
          || ((size_t)words->count > command->word_count
              && !command->takes_files)
          || strcmp (words->sval[0], command->words[0]) != 0)
        continue;
      if (!command->words[1]
          || strcmp (words->sval[1], command->words[1]) == 0)
        return command;
    }
  return NULL;
}

/* Adds the addresses of TEXT, separated by commas.  Returns false if one is
   malformed, or if there are too many. */
static bool
add_addresses (struct bd_ctl_options *options, const char *text)
{
  for (;;)
    {
      size_t length = strcspn (text, ",");

      if (!bd_is_address (text, length)
          || options->address_count == BD_CTL_ADDRESSES_MAX)
        return false;
      options->addresses[options->address_count++]
          = bd_chunk_copy ((struct bd_chunk){ text, length });
      if (text[length] == '\0')
        return true;
      text += length + 1;
    }
}

static enum bd_ctl_exit
read_addresses (const struct command_line *line,
                struct bd_ctl_options *options)
{
  const char *variable = getenv (ADMIN_VARIABLE);

  for (int i = 0; i < line->admin->count; i++)
    if (!add_addresses (options, line->admin->sval[i]))
      return usage_error ("--admin takes IP:PORT", line->admin->sval[i]);
  if (line->admin->count == 0 && variable
      && !add_addresses (options, variable))
    return usage_error (ADMIN_VARIABLE " takes IP:PORT,...", variable);
  return BD_CTL_OK;
}

static void
read_options (const struct command_line *line, struct bd_ctl_options *options)
{
  options->json = line->json->count > 0;
  if (line->workspace->count > 0)
    options->workspace = line->workspace->sval[0];
  if (line->class_name->count > 0)
    options->class_name = line->class_name->sval[0];
  options->duration_name
      = line->duration->count > 0 ? line->duration->sval[0] : "first_token";
  options->line_limit = line->last->count > 0 ? line->last->ival[0] : 0;
  options->argument_count = (size_t)line->words->count;
  for (size_t i = 0; i < options->argument_count; i++)
    options->arguments[i] = line->words->sval[i];
}

static enum bd_ctl_exit
run (const struct command_line *line, struct bd_ctl_options *options)
{
  const struct command *command;
  enum bd_ctl_exit rc;

  if (line->words->count == 0)
    return usage_error ("missing", "COMMAND");
  command = find_command (line->words);
  if (!command)
    return usage_error ("no such command, or wrong number of words",
                        line->words->sval[0]);
  if (line->last->count > 0
      && (line->last->ival[0] < 1 || line->last->ival[0] > LAST_MAX))
    return usage_error ("--last takes", "1 to 100000");
  rc = read_addresses (line, options);
  if (rc != BD_CTL_OK)
    return rc;
  if (command->needs_address
      && (size_t)line->words->count == command->word_count
      && options->address_count == 0)
    return usage_error ("missing", "--admin IP:PORT or " ADMIN_VARIABLE);
  read_options (line, options);
  return command->run (options);
}

static enum bd_ctl_exit
parse_and_run (int argc, char **argv, struct command_line *line)
{
  struct bd_ctl_options options = { 0 };
  int errors = arg_parse (argc, argv, (void **)line);
  enum bd_ctl_exit rc;

  if (line->help->count > 0)
    {
      print_help (line);
      return BD_CTL_OK;
    }
  if (line->version->count > 0)
    {
      puts ("basildockctl " BD_VERSION);
      return BD_CTL_OK;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, line->end, "basildockctl");
      return BD_CTL_USAGE;
    }
  rc = run (line, &options);
  for (size_t i = 0; i < options.address_count; i++)
    free (options.addresses[i]);
  return rc;
}

int
main (int argc, char **argv)
{
  struct command_line line;
  enum bd_ctl_exit rc = BD_CTL_USAGE;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (init_command_line (&line))
    rc = parse_and_run (argc, argv, &line);
  arg_freetable ((void **)&line, ARGUMENT_COUNT);
  curl_global_cleanup ();
  return (int)rc;
}
