/**
 * @file control.h
 * Private to the entry's control thread: its state and its parts.
 */
#ifndef BD_CONTROL_H
#define BD_CONTROL_H

#include "common/state.h"
#include "configuration/exchange.h"
#include "entry/entry.h"
#include "entry/http.h"
#include "entry/peers.h"
#include "platform/watch.h"
#include "wire/link.h"

struct bd_entry
{
  struct bd_dispatch_port dispatch_port; /* Must stay the first member. */
  struct bd_document_exchange_port exchange_port;
  struct bd_watch_sink watch_sink;
  const struct bd_settings *settings;
  uint64_t incarnation;
  struct bd_link *link;
  struct bd_dispatch *dispatch;
  struct bd_document_exchange *exchange;
  struct bd_watch *watch;
  struct bd_config_view *view;
  struct bd_peers *peers;
  struct bd_metrics *metrics;
  struct bd_state *state;
  struct bd_admin *admin;
  struct bd_http *http;
  struct bd_http_shared shared;
  struct bd_token_keys keys;
  struct bd_mailbox *control_mailbox;  /* From HTTP threads. */
  struct bd_mailbox *document_mailbox; /* From the watcher. */
  struct bd_map *calls;                /* By request. */
  size_t next_heartbeat_index;
  int64_t last_heartbeat_ms;
  int64_t last_refresh_ms;
  uint64_t service_manifest_hash; /* Hash of what the service gave last. */
  bool watching;
  bool config_published;   /* A configuration is in use. */
  int64_t first_change_ms; /* 0: nothing has come yet. */
  bool changed;
};

/** Sets where the decisions' actions go. */
void bd_control_set_ports (struct bd_entry *e);

/** Sets where the watcher's documents go. */
void bd_control_set_watch_sink (struct bd_entry *e);

/** Takes in what the watcher posted. */
void bd_control_read_documents (struct bd_entry *e, int64_t now_ms);

/** Frees what the watcher posted and nobody took. */
void bd_control_free_documents (struct bd_entry *e);

/** Puts what is newly in force where it is used, and tells the runners. */
void bd_control_publish (struct bd_entry *e, int64_t now_ms);

/** Takes in what HTTP threads posted. */
void bd_control_read_calls (struct bd_entry *e);

/** Gives up on callers who do not read what they are sent. */
void bd_control_cancel_slow_calls (struct bd_entry *e, int64_t now_ms);

/** Frees all calls; no HTTP thread may be left. */
void bd_control_free_calls (struct bd_entry *e);

/** Reads messages of other processes, a bounded number. */
void bd_control_read_messages (struct bd_entry *e);

/** Takes in what became of connections. */
void bd_control_read_link_changes (struct bd_entry *e, int64_t now_ms);

/** Sends the heartbeats to runners that are due, or to all of them. */
void bd_control_send_heartbeats (struct bd_entry *e, int64_t now_ms);
void bd_control_send_all_heartbeats (struct bd_entry *e);

#endif
