/**
 * @file call.h
 * A caller's request on its way between an HTTP thread and the control
 * thread.  The HTTP thread creates it and posts it twice: to submit it, and
 * as its last act, after which the control thread frees it.
 */
#ifndef BD_CALL_H
#define BD_CALL_H

#include "common/mailbox.h"
#include "common/metrics.h"
#include "dispatch/dispatch.h"

#include <stdatomic.h>

enum bd_http_call_step
{
  BD_CALL_SUBMIT,    /**< Place the request. */
  BD_CALL_ISSUE_KEY, /**< Issue an idempotency key. */
  BD_CALL_DELIVERED, /**< Last: the caller has the whole answer. */
  BD_CALL_CANCELLED, /**< Last: the caller went away. */
  BD_CALL_RELEASED   /**< Last: the caller was told of the failure. */
};

struct bd_http_call;

/** What is posted to the control thread. */
struct bd_http_call_mail
{
  struct bd_mail mail;
  enum bd_http_call_step step;
  struct bd_http_call *call;
};

/** What the control thread posts back. */
struct bd_delivery_mail
{
  struct bd_mail mail;
  struct bd_delivery delivery; /**< Chunks point behind the structure. */
};

struct bd_http_call
{
  struct bd_http_call_mail submit;
  struct bd_http_call_mail last;
  struct bd_dispatch_request request;
  struct bd_buffer text_storage; /**< Storage for the request's chunks. */
  struct bd_buffer body;
  struct bd_mailbox *deliveries;
  atomic_size_t pending_bytes; /**< Posted and not yet taken. */
  atomic_bool slow;            /**< The caller does not read. */
  char id_text[BD_ID_HEX_LENGTH + 1];
  int64_t arrived_us;
  struct bd_class_metrics *metrics; /**< NULL until the class is known. */
  int32_t token_gap_ms;             /**< Target of the class. */
};

/** Returns a new call with a fresh identifier, or NULL. */
struct bd_http_call *bd_http_call_create (void);

/** Frees the call and the deliveries that were not taken. */
void bd_http_call_destroy (struct bd_http_call *call);

/** Posts the call to the control thread's mailbox. */
void bd_http_call_post (struct bd_http_call *call, struct bd_mailbox *control,
                        enum bd_http_call_step step);

/** Control thread: posts a copy of DELIVERY to the call. */
void bd_http_call_deliver (struct bd_http_call *call,
                           const struct bd_delivery *delivery);

/**
 * HTTP thread: takes the next delivery, waiting up to TIMEOUT_MS.  Returns
 * NULL when none came.  Free with free ().
 */
struct bd_delivery_mail *bd_http_call_wait (struct bd_http_call *call,
                                            int timeout_ms);

#endif
