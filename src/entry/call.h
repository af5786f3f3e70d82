/**
 * @file call.h
 * A caller's request, shared by the HTTP thread that serves it and the control
 * thread.  The HTTP thread creates the call and posts it twice: first to
 * submit it, then with its final step.  The control thread frees the call
 * after that.
 */
#ifndef BD_CALL_H
#define BD_CALL_H

#include "common/mailbox.h"
#include "common/metrics.h"
#include "dispatch/dispatch.h"

#include <stdatomic.h>

enum bd_http_call_step
{
  BD_CALL_SUBMIT,    /**< Dispatch the request to a runner. */
  BD_CALL_ISSUE_KEY, /**< Issue an idempotency key. */
  BD_CALL_DELIVERED, /**< Final: the caller has the whole answer. */
  BD_CALL_CANCELLED, /**< Final: the caller disconnected. */
  BD_CALL_RELEASED   /**< Final: failed or never submitted. */
};

struct bd_http_call;

/** A message from an HTTP thread to the control thread. */
struct bd_http_call_mail
{
  struct bd_mail mail;
  enum bd_http_call_step step;
  struct bd_http_call *call;
};

/** A message from the control thread to the call's HTTP thread. */
struct bd_delivery_mail
{
  struct bd_mail mail;
  /** Chunks of the delivery point to the bytes behind this structure. */
  struct bd_delivery delivery;
};

struct bd_http_call
{
  struct bd_http_call_mail submit;
  struct bd_http_call_mail final;
  struct bd_dispatch_request request;
  /** Bytes that the request's chunks point to. */
  struct bd_buffer text_storage;
  struct bd_buffer body;
  struct bd_mailbox *deliveries;
  /** Bytes of data in deliveries, not taken yet. */
  atomic_size_t pending_bytes;
  atomic_bool slow; /**< Set when too many bytes wait for the caller. */
  char id_text[BD_ID_HEX_LENGTH + 1];
  int64_t arrived_us;
  /** Metrics of the request's class; NULL until the class is known. */
  struct bd_class_metrics *metrics;
  int32_t token_gap_ms; /**< Target of the request class. */
};

/**
 * Returns a new call with a random request identifier, or NULL without memory.
 */
struct bd_http_call *bd_http_call_create (void);

/** Frees CALL and the deliveries still queued in it. */
void bd_http_call_destroy (struct bd_http_call *call);

/**
 * Posts CALL to the control thread's mailbox.  After a final step the control
 * thread owns CALL.
 */
void bd_http_call_post (struct bd_http_call *call, struct bd_mailbox *control,
                        enum bd_http_call_step step);

/**
 * Control thread: posts a copy of DELIVERY to the call.  Marks the call as
 * slow when out of memory or when the caller has left too many bytes unread.
 */
void bd_http_call_deliver (struct bd_http_call *call,
                           const struct bd_delivery *delivery);

/**
 * HTTP thread: takes the next delivery, waiting up to TIMEOUT_MS milliseconds.
 * Returns NULL on timeout.  Free the result with free ().
 */
struct bd_delivery_mail *bd_http_call_wait (struct bd_http_call *call,
                                            int timeout_ms);

#endif
