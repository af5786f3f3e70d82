/**
 * @file dialect.h
 * Functions and constants with which a platform's adapter translates the
 * platform's header fields for the gateway.
 */
#ifndef BD_DIALECT_H
#define BD_DIALECT_H

#include "http/message.h"
#include "retry/part_breaker.h"

/** Content of the header of a caller's request. */
struct bd_request_fields
{
  struct bd_chunk attempt_id; /**< Unique for each attempt of the caller. */
  int64_t caller_timeout_ms;  /**< How long the caller waits, in milliseconds;
                                 -1: unknown. */
  struct bd_chunk credential; /**< Its data is NULL if there is none. */
  /** Identifier of the last event of a stream that the caller continues;
      empty: it asks for a whole response. */
  struct bd_chunk last_event_id;
  /** Attempt of the caller that brought the stream's first event; empty: not
      named. */
  struct bd_chunk origin_id;
  /** Hash of the prompt's last shared prefix; 0: none. */
  uint64_t prefix_hash;
  uint64_t shared_tokens; /**< Length of the shared prefix. */
  /** Hash of the prompt's last part, which no other request of another
      session has; 0: none. */
  uint64_t own_part;
  /** Parts of the shared prefix, whatever model reads them.  To be cleared. */
  struct bd_part_list parts;
  /** Rest of the prompt; 0: the request has no prompt. */
  uint64_t own_tokens;
};

/** Address and port in network byte order; port 0: none. */
struct bd_address
{
  uint32_t ip;
  uint16_t port;
};

/** Header fields that the gateway adds to a request for a runner. */
struct bd_request_directives
{
  struct bd_chunk instance;  /**< The only runner that may run the request. */
  struct bd_chunk workspace; /**< Empty: none. */
  int64_t left_ms;           /**< Milliseconds until the deadline. */
  int priority;              /**< 0 to 9; -1: not set. */
  /** Runner to fetch the prompt's shared prefixes from. */
  struct bd_address fetch_from;
};

/** Content of the header of a runner's response. */
struct bd_response_fields
{
  bool authentic;    /**< The response has the runner's proof of origin. */
  bool not_executed; /**< The request did not run and will not. */
  bool leaving;      /**< The runner shuts down and takes no new requests. */
  bool misdirected;  /**< The response is from another runner than the one
                        addressed. */
  /** Whether the runner names a rate limit: BD_OK, BD_ERR_NOT_FOUND or
      BD_ERR_INVALID. */
  int rate_limit_error;
  int64_t
      rate_limit; /**< That limit, in thousandths of a request per second. */
};

/** Called for each part of a prompt that a runner holds; PREFIX is the hash of
    the prompt up to its end. */
typedef void (*bd_dialect_on_prefix) (void *context, uint64_t prefix,
                                      uint64_t tokens);

struct bd_dialect
{
  /** Parses the header of a request.  Returns BD_OK, BD_ERR_INVALID or
      BD_ERR_NOMEM; the parts in FIELDS are to be cleared in any case. */
  int (*read_request) (const struct bd_head *head,
                       struct bd_request_fields *fields);
  /**
   * Returns whether the field NAME of a caller's request is withheld from
   * runners, because only the system may send it.
   */
  bool (*is_reserved) (struct bd_chunk name);
  /**
   * Returns whether the field NAME is passed on even if Connection names it.
   */
  bool (*is_end_to_end) (struct bd_chunk name);
  /** Appends the header lines for DIRECTIVES. */
  void (*write_directives) (struct bd_buffer *out,
                            const struct bd_request_directives *directives);
  void (*read_response) (const struct bd_head *head,
                         struct bd_response_fields *fields);
  /** Head of the HTTP request that asks a runner which prefixes it holds. */
  struct bd_chunk prefixes_request;
  /** Parses the body of the response.  Returns BD_OK or BD_ERR_INVALID. */
  int (*read_prefixes) (struct bd_chunk body, bd_dialect_on_prefix on_prefix,
                        void *context);
  /**
   * Name of the field with the attempt's identifier, which runners send back.
   */
  struct bd_chunk attempt_field;
};

#endif
