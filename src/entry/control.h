/**
 * @file control.h
 * State and functions of the entry's control thread; private to the source
 * files of the entry.
 */
#ifndef BD_CONTROL_H
#define BD_CONTROL_H

#include "common/admin_state.h"
#include "configuration/document_exchange.h"
#include "entry/entry.h"
#include "entry/http.h"
#include "entry/peers.h"
#include "platform/watch.h"
#include "wire/link.h"

struct bd_entry
{
  /* Must be the first member: the callbacks cast its address to the entry. */
  struct bd_dispatch_callbacks dispatch_callbacks;
  struct bd_document_exchange_callbacks exchange_callbacks;
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
  struct bd_admin_state *state;
  struct bd_admin *admin;
  struct bd_http *http;
  struct bd_http_shared shared;
  struct bd_token_keys keys;
  struct bd_mailbox *control_mailbox;  /* Filled by the HTTP threads. */
  struct bd_mailbox *document_mailbox; /* Filled by the watch thread. */
  struct bd_map *calls; /* struct bd_http_call by request identifier. */
  size_t next_heartbeat_index;
  int64_t last_heartbeat_ms;
  int64_t last_refresh_ms;
  /* Hash of the manifest last read from the configuration service. */
  uint64_t service_manifest_hash;
  bool watching;           /* This entry holds watch queries at the service. */
  bool config_published;   /* The HTTP threads have a configuration. */
  int64_t first_change_ms; /* 0 before the first configuration change. */
  bool config_changed;
};

/** Sets the callbacks of the dispatcher and the document exchange. */
void bd_control_set_callbacks (struct bd_entry *e);

/** Sets the callbacks of the configuration service's watch. */
void bd_control_set_watch_sink (struct bd_entry *e);

/** Processes the documents and confirmations that the watch thread posted. */
void bd_control_read_documents (struct bd_entry *e, int64_t now_ms);

/** Frees the documents that are still in the mailbox. */
void bd_control_free_documents (struct bd_entry *e);

/**
 * Passes the active configuration to the dispatcher, the peers and the HTTP
 * threads, and announces its revision to the runners and peers.  At the start
 * it first waits, within limits, for all documents of the manifest.
 */
void bd_control_publish (struct bd_entry *e, int64_t now_ms);

/** Processes the calls that the HTTP threads posted. */
void bd_control_read_calls (struct bd_entry *e);

/** Cancels the calls whose callers read too slowly. */
void bd_control_cancel_slow_calls (struct bd_entry *e, int64_t now_ms);

/** Frees all calls; the HTTP threads must have ended. */
void bd_control_free_calls (struct bd_entry *e);

/** Processes a bounded number of messages from other processes. */
void bd_control_read_messages (struct bd_entry *e);

/** Processes connections to other processes that came up or were lost. */
void bd_control_read_link_changes (struct bd_entry *e, int64_t now_ms);

/** Sends the heartbeat that is due, to one runner, or one to every runner. */
void bd_control_send_heartbeats (struct bd_entry *e, int64_t now_ms);
void bd_control_send_all_heartbeats (struct bd_entry *e);

#endif
