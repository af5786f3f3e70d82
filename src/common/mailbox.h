/**
 * @file mailbox.h
 * A queue from many threads to one, with a file descriptor to poll.
 */
#ifndef BD_MAILBOX_H
#define BD_MAILBOX_H

#include <stdatomic.h>
#include <stdint.h>

#include <urcu/wfcqueue.h>

/** The first member of everything that is posted. */
struct bd_mail
{
  struct cds_wfcq_node node;
  atomic_bool posted; /**< Private: orders the content before the taking. */
};

struct bd_mailbox;

/** Returns a new mailbox, or NULL. */
struct bd_mailbox *bd_mailbox_create (void);

/** Frees the mailbox; mail still in it must have been taken before. */
void bd_mailbox_destroy (struct bd_mailbox *box);

/** Posts MAIL, which the taker then owns.  Any thread. */
void bd_mailbox_post (struct bd_mailbox *box, struct bd_mail *mail);

/** Takes the oldest mail, or returns NULL.  The receiving thread only. */
struct bd_mail *bd_mailbox_take (struct bd_mailbox *box);

/** The descriptor that becomes readable when mail is there. */
int bd_mailbox_fd (const struct bd_mailbox *box);

/** Waits for mail up to TIMEOUT_MS milliseconds; NULL when none came. */
struct bd_mail *bd_mailbox_wait (struct bd_mailbox *box, int timeout_ms);

#endif
