/**
 * @file control.h
 * State and functions of the sidecar's control thread; private to the source
 * files of the sidecar.
 */
#ifndef BD_SIDECAR_CONTROL_H
#define BD_SIDECAR_CONTROL_H

#include "common/admin_state.h"
#include "configuration/document_exchange.h"
#include "runner/runner.h"
#include "sidecar/engine_event_mail.h"
#include "sidecar/sidecar.h"
#include "wire/link.h"

#define BD_SIDECAR_ENTRIES_MAX 512
#define BD_SIDECAR_NAME_BYTES 64

/* An entry that has sent a heartbeat. */
struct known_entry
{
  char name[BD_SIDECAR_NAME_BYTES];
  int64_t last_message_ms;
};

struct bd_sidecar
{
  /* Must be the first member: the callbacks cast its address to the
     sidecar. */
  struct bd_runner_callbacks runner_callbacks;
  struct bd_document_exchange_callbacks exchange_callbacks;
  const struct bd_settings *settings;
  uint64_t incarnation;
  struct bd_link *link;
  struct bd_runner *runner;
  struct bd_document_exchange *exchange;
  struct bd_engine *engine;
  struct bd_engine_mailbox_sink engine_sink;
  struct bd_mailbox *engine_events;
  struct bd_config_snapshot *snapshot; /* Active configuration, or NULL. */
  /* Hash of the runners of the own pool; 0 before the pool is known. */
  uint64_t pool_list_hash;
  struct bd_metrics *metrics;
  struct bd_admin_state *state;
  struct bd_admin *admin;
  struct known_entry known_entries[BD_SIDECAR_ENTRIES_MAX];
  size_t known_entry_count;
  int64_t last_probe_ms;
  bool probe_in_flight;
  bool reported_engine_up;
};

/** Sets the callbacks of the runner and the document exchange. */
void bd_sidecar_set_callbacks (struct bd_sidecar *s);

/** Fills in a heartbeat message. */
void bd_sidecar_fill_heartbeat (struct bd_sidecar *s, struct bd_message *m);

/** Sends a heartbeat to every known entry. */
void bd_sidecar_send_heartbeats (struct bd_sidecar *s);

/**
 * Writes the state KIND, for bd_admin_state_serve (); CONTEXT is the sidecar.
 * Returns BD_OK, BD_ERR_NOMEM, or BD_ERR_NOT_FOUND for a kind that a sidecar
 * does not have.
 */
int bd_sidecar_write_state (void *context, enum bd_admin_state_kind kind,
                            struct bd_buffer *json);

#endif
