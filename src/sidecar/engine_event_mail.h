/**
 * @file engine_event_mail.h
 * Passes engine events from the engine's thread to the control thread.
 */
#ifndef BD_ENGINE_EVENT_MAIL_H
#define BD_ENGINE_EVENT_MAIL_H

#include "common/mailbox.h"
#include "sidecar/engine.h"

/** A copy of an engine event; the bytes of its chunks follow the structure. */
struct bd_engine_event_mail
{
  struct bd_mail mail;
  struct bd_engine_event event;
};

/** A sink that posts copies of events to a mailbox. */
struct bd_engine_mailbox_sink
{
  struct bd_engine_sink base;
  struct bd_mailbox *mailbox;
};

/** Sets up SINK to post to MAILBOX. */
void bd_engine_mailbox_sink_init (struct bd_engine_mailbox_sink *sink,
                                  struct bd_mailbox *mailbox);

/** Takes the oldest event, or returns NULL.  Free the result with free (). */
struct bd_engine_event_mail *bd_engine_event_take (struct bd_mailbox *mailbox);

#endif
