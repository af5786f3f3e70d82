/**
 * @file exchange.h
 * Keeps the configuration of a daemon up with its peers and the platform's
 * service: newer revisions are asked for where they were seen.
 */
#ifndef BD_DOCUMENT_EXCHANGE_H
#define BD_DOCUMENT_EXCHANGE_H

#include "common/event.h"
#include "configuration/config.h"
#include "wire/message.h"

/** Where actions go; embed as the first member. */
struct bd_document_exchange_port
{
  /** Asks a peer for a document, or the platform's service when PEER is
      empty. */
  void (*fetch) (struct bd_document_exchange_port *port, struct bd_chunk peer,
                 struct bd_chunk name);
  void (*note) (struct bd_document_exchange_port *port, enum bd_event event,
                struct bd_chunk name, const char *detail);
  /** Something is newly in force. */
  void (*changed) (struct bd_document_exchange_port *port);
};

struct bd_document_exchange;

struct bd_document_exchange *
bd_document_exchange_create (struct bd_document_exchange_port *port);
void bd_document_exchange_destroy (struct bd_document_exchange *exchange);

struct bd_config *
bd_document_exchange_config (struct bd_document_exchange *exchange);

/** A peer told the revision and digest that it has in force. */
void bd_document_exchange_heard (struct bd_document_exchange *exchange,
                                 int64_t now_ms, struct bd_chunk peer,
                                 uint64_t revision, uint64_t digest);

/** A document came from PEER, or from the service when PEER is empty. */
void bd_document_exchange_document (struct bd_document_exchange *exchange,
                                    int64_t now_ms, struct bd_chunk peer,
                                    struct bd_chunk name,
                                    struct bd_chunk json);

/** Asks again for documents that are named and have not come. */
void bd_document_exchange_tick (struct bd_document_exchange *exchange,
                                int64_t now_ms);

#endif
