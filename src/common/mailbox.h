/**
 * @file mailbox.h
 * A multi-producer, single-consumer queue with a file descriptor to poll.
 */
#ifndef BD_MAILBOX_H
#define BD_MAILBOX_H

#include <stdatomic.h>
#include <stdint.h>

#include <urcu/wfcqueue.h>

/** The queue node; must be the first member of each posted record. */
struct bd_mail
{
  struct cds_wfcq_node node;
  atomic_bool posted; /**< Private: publishes the record to the consumer. */
};

struct bd_mailbox;

/** Returns a new mailbox, or NULL when out of memory or descriptors. */
struct bd_mailbox *bd_mailbox_create (void);

/** Frees the mailbox, which must be empty. */
void bd_mailbox_destroy (struct bd_mailbox *box);

/** Posts MAIL, which the consumer then owns.  Thread-safe. */
void bd_mailbox_post (struct bd_mailbox *box, struct bd_mail *mail);

/** Takes the oldest mail, or returns NULL.  For the consumer thread only. */
struct bd_mail *bd_mailbox_take (struct bd_mailbox *box);

/** Returns the descriptor that is readable while there may be mail. */
int bd_mailbox_fd (const struct bd_mailbox *box);

/** Takes the oldest mail, waiting up to TIMEOUT_MS for it (negative: without
    limit).  May return NULL earlier. */
struct bd_mail *bd_mailbox_wait (struct bd_mailbox *box, int timeout_ms);

#endif
