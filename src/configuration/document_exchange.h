/**
 * @file document_exchange.h
 * Keeps the configuration of a daemon up to date with its peers and the
 * configuration service: a newer revision is fetched from where it was seen.
 */
#ifndef BD_DOCUMENT_EXCHANGE_H
#define BD_DOCUMENT_EXCHANGE_H

#include "common/event.h"
#include "configuration/config.h"
#include "wire/message.h"

/** Callbacks of the exchange; embed as the first member. */
struct bd_document_exchange_callbacks
{
  /** Requests a document from a peer, or from the configuration service when
      PEER is empty. */
  void (*fetch) (struct bd_document_exchange_callbacks *callbacks,
                 struct bd_chunk peer, struct bd_chunk name);
  /** Logs an event about the document NAME. */
  void (*log_event) (struct bd_document_exchange_callbacks *callbacks,
                     enum bd_event event, struct bd_chunk name,
                     const char *detail);
  /** A document became active. */
  void (*changed) (struct bd_document_exchange_callbacks *callbacks);
};

struct bd_document_exchange;

struct bd_document_exchange *
bd_document_exchange_create (struct bd_document_exchange_callbacks *callbacks);
void bd_document_exchange_destroy (struct bd_document_exchange *exchange);

/** Returns the configuration, which belongs to EXCHANGE. */
struct bd_config *
bd_document_exchange_config (struct bd_document_exchange *exchange);

/** Handles the manifest revision and digest that a peer reports as active. */
void
bd_document_exchange_handle_revision (struct bd_document_exchange *exchange,
                                      int64_t now_ms, struct bd_chunk peer,
                                      uint64_t revision, uint64_t digest);

/** Handles a document received from PEER, or from the configuration service
 * when PEER is empty. */
void bd_document_exchange_handle_document (
    struct bd_document_exchange *exchange, int64_t now_ms,
    struct bd_chunk peer, struct bd_chunk name, struct bd_chunk json);

/** Requests listed documents again that have not arrived. */
void bd_document_exchange_tick (struct bd_document_exchange *exchange,
                                int64_t now_ms);

#endif
