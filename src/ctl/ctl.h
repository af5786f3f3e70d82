/**
 * @file ctl.h
 * basildockctl: its options, commands and exit codes.
 */
#ifndef BD_CTL_H
#define BD_CTL_H

#include "common/string.h"

#include <jansson.h>

#define BD_CTL_ADDRESSES_MAX 64
/** Words of a command, with the names of files. */
#define BD_CTL_ARGUMENTS_MAX 256

/** Exit codes. */
enum bd_ctl_exit
{
  BD_CTL_OK = 0,
  BD_CTL_FAILED = 1, /**< It was read, and is bad or was not found. */
  BD_CTL_USAGE = 2,
  BD_CTL_UNREACHABLE = 3 /**< At least one daemon did not answer. */
};

/** What the command line says.  Unset text is NULL. */
struct bd_ctl_options
{
  char *addresses[BD_CTL_ADDRESSES_MAX]; /**< "IP:PORT" of admin ports. */
  size_t address_count;
  bool json;
  const char *workspace;
  const char *class_name;
  const char *duration_name;
  int line_limit; /**< Lines to show at most; 0: all. */
  const char *arguments[BD_CTL_ARGUMENTS_MAX];
  size_t argument_count;
};

/** A command; returns the exit code. */
typedef enum bd_ctl_exit (*bd_ctl_command) (
    const struct bd_ctl_options *options);

/** Shows PATH of each daemon: status, runners. */
enum bd_ctl_exit bd_ctl_status (const struct bd_ctl_options *options);
enum bd_ctl_exit bd_ctl_runners (const struct bd_ctl_options *options);
enum bd_ctl_exit bd_ctl_contract_show (const struct bd_ctl_options *options);

/** Checks the contract document in the file named by argument 2. */
enum bd_ctl_exit bd_ctl_contract_check (const struct bd_ctl_options *options);

/** Draws the durations of each workspace and class as bars. */
enum bd_ctl_exit bd_ctl_histogram (const struct bd_ctl_options *options);

/** Shows the kept log lines of all daemons, in the order of time. */
enum bd_ctl_exit bd_ctl_events (const struct bd_ctl_options *options);

/**
 * The same for the request named by argument 1; with further arguments, from
 * these log files ("-": standard input) in place of daemons.
 */
enum bd_ctl_exit bd_ctl_trace (const struct bd_ctl_options *options);

/**
 * Says from log files, as above, how the request of argument 1 ended and which
 * input decided it.
 */
enum bd_ctl_exit bd_ctl_explain (const struct bd_ctl_options *options);

/**
 * Reads PATH of the daemon at ADDRESS.  On an error, tells it on standard
 * error and returns BD_CTL_UNREACHABLE or BD_CTL_FAILED; else *ROOT is to be
 * released by the caller.  With OPTIONAL, a daemon whose role does not have
 * PATH (status 404) gives BD_CTL_OK and no *ROOT.
 */
enum bd_ctl_exit bd_ctl_fetch (const char *address, const char *path,
                               bool optional, json_t **root);

/** The worse of two exit codes. */
enum bd_ctl_exit bd_ctl_worst_exit (enum bd_ctl_exit a, enum bd_ctl_exit b);

/** Prints VALUE as JSON in ASCII, then a newline. */
void bd_ctl_print_json (const json_t *value);

/** Prints an object as lines, and an array of objects as a table. */
void bd_ctl_print_value (const json_t *value);

/**
 * Appends TEXT with each byte that could steer a terminal, or change the
 * direction of writing, as "\\xNN".  Returns BD_OK or BD_ERR_NOMEM.
 */
int bd_ctl_escape (struct bd_chunk text, struct bd_buffer *buffer);

/** Prints TEXT, escaped. */
void bd_ctl_print_text (struct bd_chunk text);

#endif
