#include "configuration/document_exchange.h"
#include "common/string.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PEER_NAME_BYTES 64
/* Time after which an unanswered request is repeated. */
#define FETCH_TIMEOUT_MS 500
/* Minimum time between two requests for all documents of a peer that has the
   same manifest revision and another digest. */
#define CONFLICT_CHECK_MS 10000
/* A different digest is acted upon only when nothing has changed here for
   this long, since peers differ for a moment while a change spreads. */
#define CONFLICT_QUIET_MS 5000
#define REASON_BYTES 256

struct bd_document_exchange
{
  struct bd_document_exchange_callbacks *callbacks;
  struct bd_config *config;
  char source_peer[PEER_NAME_BYTES]; /* Peer that has the active revision;
                                        "": the configuration service. */
  uint64_t requested_revision;
  int64_t requested_ms;
  int64_t last_conflict_check_ms;
  int64_t last_change_ms; /* When a document last became active. */
  int64_t next_retry_ms;
};

struct bd_document_exchange *
bd_document_exchange_create (struct bd_document_exchange_callbacks *callbacks)
{
  struct bd_document_exchange *x = calloc (1, sizeof *x);

  if (!x)
    return NULL;
  x->callbacks = callbacks;
  x->config = bd_config_create ();
  x->last_conflict_check_ms = INT64_MIN;
  if (x->config)
    return x;
  free (x);
  return NULL;
}

void
bd_document_exchange_destroy (struct bd_document_exchange *exchange)
{
  if (!exchange)
    return;
  bd_config_destroy (exchange->config);
  free (exchange);
}

struct bd_config *
bd_document_exchange_config (struct bd_document_exchange *exchange)
{
  return exchange->config;
}

static void
set_source_peer (struct bd_document_exchange *x, struct bd_chunk peer)
{
  size_t length = peer.length < PEER_NAME_BYTES ? peer.length : 0;

  if (length > 0)
    memcpy (x->source_peer, peer.data, length);
  x->source_peer[length] = '\0';
}

struct fetch_context
{
  struct bd_document_exchange *exchange;
  struct bd_chunk peer;
};

static void
fetch_document (void *data, struct bd_chunk name)
{
  struct fetch_context *context = data;
  struct bd_document_exchange_callbacks *callbacks
      = context->exchange->callbacks;

  callbacks->fetch (callbacks, context->peer, name);
}

static void
fetch_listed (void *data, struct bd_chunk name, uint64_t revision,
              uint64_t hash)
{
  (void)revision;
  (void)hash;
  fetch_document (data, name);
}

static void
fetch_missing (struct bd_document_exchange *x, struct bd_chunk peer)
{
  struct fetch_context context = { x, peer };

  bd_config_visit_outdated (x->config, fetch_document, &context);
}

/* Same manifest revision and another digest: two different documents were
   published under one revision.  Requests all documents from the peer. */
static void
check_conflict (struct bd_document_exchange *x, int64_t now_ms,
                struct bd_chunk peer)
{
  struct fetch_context context = { x, peer };

  if (now_ms - x->last_change_ms < CONFLICT_QUIET_MS
      || (x->last_conflict_check_ms != INT64_MIN
          && now_ms - x->last_conflict_check_ms < CONFLICT_CHECK_MS))
    return;
  x->last_conflict_check_ms = now_ms;
  bd_config_visit_active (x->config, fetch_listed, &context);
}

void
bd_document_exchange_handle_revision (struct bd_document_exchange *exchange,
                                      int64_t now_ms, struct bd_chunk peer,
                                      uint64_t revision, uint64_t digest)
{
  uint64_t own_revision = bd_config_revision (exchange->config);

  if (revision == own_revision && revision != 0
      && digest != bd_config_digest (exchange->config))
    check_conflict (exchange, now_ms, peer);
  if (revision == own_revision)
    set_source_peer (exchange, peer);
  if (revision <= own_revision)
    return;
  if (revision <= exchange->requested_revision
      && now_ms - exchange->requested_ms < FETCH_TIMEOUT_MS)
    return;
  exchange->requested_revision = revision;
  exchange->requested_ms = now_ms;
  exchange->callbacks->fetch (exchange->callbacks, peer,
                              BD_CHUNK ("manifest"));
}

void
bd_document_exchange_handle_document (struct bd_document_exchange *exchange,
                                      int64_t now_ms, struct bd_chunk peer,
                                      struct bd_chunk name,
                                      struct bd_chunk json)
{
  struct bd_document_exchange_callbacks *callbacks = exchange->callbacks;
  char reason[REASON_BYTES] = "";
  int rc
      = bd_config_submit (exchange->config, name, json, reason, sizeof reason);

  if (rc == BD_ERR_CONTRACT)
    callbacks->log_event (callbacks, BD_EVENT_CONFIG_REFUSED, name, reason);
  if (rc != BD_OK)
    return;
  set_source_peer (exchange, peer);
  exchange->next_retry_ms = now_ms + FETCH_TIMEOUT_MS;
  exchange->last_change_ms = now_ms;
  callbacks->log_event (callbacks, BD_EVENT_CONFIG_IN_FORCE, name, "");
  if (bd_chunk_equal (name, BD_CHUNK ("manifest")))
    fetch_missing (exchange, peer);
  callbacks->changed (callbacks);
}

void
bd_document_exchange_tick (struct bd_document_exchange *exchange,
                           int64_t now_ms)
{
  if (now_ms < exchange->next_retry_ms)
    return;
  exchange->next_retry_ms = now_ms + FETCH_TIMEOUT_MS;
  fetch_missing (exchange, bd_chunk_of (exchange->source_peer));
}
