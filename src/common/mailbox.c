#include "common/mailbox.h"

#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct bd_mailbox
{
  struct cds_wfcq_head head;
  struct cds_wfcq_tail tail;
  int fd;
};

struct bd_mailbox *
bd_mailbox_create (void)
{
  struct bd_mailbox *box = calloc (1, sizeof *box);

  if (!box)
    return NULL;
  box->fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (box->fd < 0)
    {
      free (box);
      return NULL;
    }
  cds_wfcq_init (&box->head, &box->tail);
  return box;
}

void
bd_mailbox_destroy (struct bd_mailbox *box)
{
  if (!box)
    return;
  cds_wfcq_destroy (&box->head, &box->tail);
  close (box->fd);
  free (box);
}

void
bd_mailbox_post (struct bd_mailbox *box, struct bd_mail *mail)
{
  cds_wfcq_node_init (&mail->node);
  /* The queue orders memory by its own barriers, which thread sanitizers
     don't recognize; they do recognize this release and the acquire in
     mail_from_node (). */
  atomic_store_explicit (&mail->posted, true, memory_order_release);
  /* Only a post to an empty queue has to wake the consumer. */
  if (!cds_wfcq_enqueue (&box->head, &box->tail, &mail->node))
    eventfd_write (box->fd, 1);
}

static struct bd_mail *
mail_from_node (struct cds_wfcq_node *node)
{
  struct bd_mail *mail = caa_container_of (node, struct bd_mail, node);

  return atomic_load_explicit (&mail->posted, memory_order_acquire) ? mail
                                                                    : NULL;
}

struct bd_mail *
bd_mailbox_take (struct bd_mailbox *box)
{
  struct cds_wfcq_node *node
      = __cds_wfcq_dequeue_blocking (&box->head, &box->tail);
  eventfd_t count;

  if (node)
    return mail_from_node (node);
  /* Clear the wake-up, then check again for mail posted in between. */
  eventfd_read (box->fd, &count);
  node = __cds_wfcq_dequeue_blocking (&box->head, &box->tail);
  return node ? mail_from_node (node) : NULL;
}

int
bd_mailbox_fd (const struct bd_mailbox *box)
{
  return box->fd;
}

struct bd_mail *
bd_mailbox_wait (struct bd_mailbox *box, int timeout_ms)
{
  struct bd_mail *mail = bd_mailbox_take (box);
  struct pollfd fd = { .fd = box->fd, .events = POLLIN };

  if (mail || timeout_ms == 0)
    return mail;
  poll (&fd, 1, timeout_ms);
  return bd_mailbox_take (box);
}
