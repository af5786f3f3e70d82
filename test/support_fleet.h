/**
 * @file support_fleet.h
 * Simulates entries and runners in virtual time, over a network that drops,
 * duplicates and delays messages and cuts links.  Simulated engines answer
 * with numbered words.
 */
#ifndef SUPPORT_FLEET_H
#define SUPPORT_FLEET_H

#include "dispatch/dispatch.h"
#include "runner/runner.h"

#include <glib.h>

#define FLEET_ENTRIES_MAX 4
#define FLEET_RUNNERS_MAX 8

struct fleet_settings
{
  guint32 seed;
  int entries;
  int runners;
  int slots;
  int drop_permille;
  int duplicate_permille;
  int delay_max_ms; /**< Random delay from 1 to this; above 1 reorders. */
  int token_ms;
  enum bd_placement_policy policy;
};

/** A caller's request and its answer. */
struct fleet_call
{
  struct bd_id id;
  int entry;
  guint64 content; /**< Determines the answer. */
  gboolean keyed;
  int key_number;
  GString *text;
  gboolean head_received;
  gboolean complete;
  gboolean failed;
  gboolean replay;
  gboolean abandoned; /**< Its caller or entry is gone. */
  int error;
  enum bd_ran ran;
  gint64 submitted_ms;
  gint64 first_data_ms; /**< Time of the first data; 0 without data. */
  gint64 ended_ms;
  int billed;
};

/** One execution of a request at an engine. */
struct fleet_run
{
  struct bd_id request;
  struct bd_id key;
  int runner;
  gboolean ended;
};

struct fleet;

struct fleet *fleet_new (const struct fleet_settings *settings);
void fleet_free (struct fleet *fleet);

gint64 fleet_now (const struct fleet *fleet);

/** Advances virtual time by MS. */
void fleet_run (struct fleet *fleet, gint64 ms);

/** Submits an idempotent request for CONTENT, without a key. */
struct fleet_call *fleet_submit (struct fleet *fleet, int entry,
                                 guint64 content, int tier);

/** Submits a request that may run once, with the key KEY_NUMBER. */
struct fleet_call *fleet_submit_keyed (struct fleet *fleet, int entry,
                                       guint64 content, int key_number);

/** Disconnects the caller of CALL, which may then end without an answer. */
void fleet_cancel (struct fleet *fleet, struct fleet_call *call);

/* Faults: */

void fleet_crash_runner (struct fleet *fleet, int runner);
void fleet_restart_runner (struct fleet *fleet, int runner);
/** Stops the entry for good, with its callers' connections. */
void fleet_crash_entry (struct fleet *fleet, int entry);
gboolean fleet_entry_alive (const struct fleet *fleet, int entry);
void fleet_pause_runner (struct fleet *fleet, int runner, gint64 ms);
void fleet_pause_entry (struct fleet *fleet, int entry, gint64 ms);
void fleet_crash_engine (struct fleet *fleet, int runner);
void fleet_stall_engine (struct fleet *fleet, int runner, gint64 ms);
void fleet_set_link_cut (struct fleet *fleet, int entry, int runner,
                         gboolean cut);
void fleet_leave_runner (struct fleet *fleet, int runner);
/** Makes requests for CONTENT crash the engine that runs them. */
void fleet_set_poison (struct fleet *fleet, guint64 content);
/** Gossips strikes among the entries from now on. */
void fleet_enable_gossip (struct fleet *fleet);

/** Limits ENTRY to one request a second. */
void fleet_limit_entry (struct fleet *fleet, int entry);

GPtrArray *fleet_calls (struct fleet *fleet);
GPtrArray *fleet_runs (struct fleet *fleet);
int fleet_engine_crashes (const struct fleet *fleet);
struct bd_runner *fleet_runner (struct fleet *fleet, int runner);

/** Returns the complete answer for CONTENT. */
char *fleet_answer (guint64 content);

/**
 * Checks the invariants and fails with TITLE on a violation: a key runs at
 * most once; a request reported as not run did not run; a complete answer is
 * the correct one; only complete answers are billed, once each; every call
 * has ended.
 */
void fleet_check (struct fleet *fleet, const char *title);

#endif
