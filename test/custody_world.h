/*
 * A small world around custody: 2 entries, 3 sidecars, 1 key, and a network
 * that is a set of messages.  Each message is delivered in any order, late,
 * twice or never.  The sidecars' decisions are those of the real custody.c.
 */
#ifndef CUSTODY_WORLD_H
#define CUSTODY_WORLD_H

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* The record of a state is copied and compared, so its layout is needed. */
#include "custody/custody.c" /* NOLINT(bugprone-suspicious-include) */

#define SIDECARS 3
#define PROCESSES 4 /* One is restarted or replaced. */
#define REQUESTS 2
#define MAX_MESSAGES 16
#define MAX_HANDS 8
#define MAX_ACTIONS 160
#define MAX_DEPTH 80
#define FIRST_INCARNATION 10
#define ANY 255

enum broken
{
  CORRECT = 0,
  TWO_SUCCESSORS,      /* Each duplicate learns another successor. */
  NO_TOMBSTONE,        /* A withdrawn key is forgotten. */
  INCARNATION_IGNORED, /* Whoever is asked holds the key. */
  START_NOT_ASKED,     /* What was queued runs without asking again. */
  WITHDRAWN_BLINDLY,   /* A withdrawal is always confirmed. */
  REPLACED_KEEPS_NAME  /* A new process takes the old incarnation. */
};

enum message_kind
{
  MESSAGE_CLAIM,
  MESSAGE_WITHDRAW
};

struct message
{
  uint8_t kind;
  uint8_t request;  /* Of entry REQUEST % 2. */
  uint8_t instance; /* Where it goes. */
  uint8_t hand;     /* 1 + index of the hand-over; 0: none. */
};

struct hand
{
  uint8_t successor; /* A process. */
  uint8_t from;
  uint8_t hops;
};

struct process
{
  bool alive;
  bool paused;
  uint8_t instance;
  uint8_t queued;  /* Requests, one bit each. */
  uint8_t waiting; /* Requests that wait for an answer. */
  uint8_t started; /* 1 + request that may run; 0: none. */
  bool running;
  bool known; /* RECORD is valid. */
  struct record record;
};

struct budget
{
  uint8_t duplicates;
  uint8_t withdrawals; /* Requests that may be, one bit each. */
  uint8_t hand_overs;
  uint8_t crashes;
  uint8_t pauses;
  uint8_t cuts;
  uint8_t not_sent;
};

struct world
{
  struct process processes[PROCESSES];
  uint8_t process_count;
  struct message messages[MAX_MESSAGES];
  uint8_t message_count;
  struct hand hands[MAX_HANDS];
  uint8_t hand_count;
  struct budget budget;
  uint8_t cut_entry; /* ANY: no partition. */
  uint8_t cut_instance;
  uint8_t runs;
  bool refused; /* Somebody was told that the key did not run. */
};

enum action_kind
{
  ACTION_DELIVER, /* Message A to process B. */
  ACTION_DUPLICATE,
  ACTION_WITHDRAW, /* Request A at instance B. */
  ACTION_HAND,     /* From process A to process B. */
  ACTION_CRASH,
  ACTION_PAUSE,
  ACTION_REPLACE, /* A new process while A is paused. */
  ACTION_CONTINUE,
  ACTION_START, /* Request B at process A. */
  ACTION_SENT,
  ACTION_NOT_SENT,
  ACTION_FINISH, /* With error B. */
  ACTION_CUT,    /* Entry A from instance B. */
  ACTION_HEAL
};

static const char *const action_names[]
    = { "deliver",  "duplicate", "withdraw", "hand over", "crash",
        "pause",    "replace",   "continue", "start",     "sent",
        "not sent", "finish",    "cut",      "heal" };

struct action
{
  uint8_t kind;
  uint8_t a;
  uint8_t b;
};

/* What the model of a version is made of. */
struct model
{
  enum broken broken;
  struct bd_custody *custodies[PROCESSES];
};

static const struct bd_key the_key = { .id = { 1, 2 } };

static uint64_t
incarnation_of (const struct model *m, const struct world *w, uint8_t p)
{
  if (m->broken == REPLACED_KEEPS_NAME)
    return FIRST_INCARNATION + w->processes[p].instance;
  return FIRST_INCARNATION + (uint64_t)p;
}

static struct bd_id
request_id (uint8_t request)
{
  return (struct bd_id){ 3, request };
}

/* Puts the process's record into the real custody, to be called. */
static struct bd_custody *
load (struct model *m, const struct world *w, uint8_t p)
{
  struct bd_custody *c = m->custodies[p];
  const struct process *x = &w->processes[p];

  c->settings.incarnation = incarnation_of (m, w, p);
  c->count = c->used = x->known;
  c->free = NONE;
  c->records[0] = x->record;
  if (x->known)
    bd_map_put (c->by_key, the_key.id, 0, &c->records[0]);
  else
    bd_map_remove (c->by_key, the_key.id, 0);
  return c;
}

static void
store (const struct bd_custody *c, struct process *x)
{
  x->known = c->count > 0;
  if (x->known)
    x->record = c->records[0];
}

static uint64_t
digest (const struct world *w)
{
  unsigned char bytes[256];
  size_t n = 0;

  for (uint8_t p = 0; p < w->process_count; p++)
    {
      const struct process *x = &w->processes[p];
      const struct record *r = &x->record;
      uint8_t waiters = 0;

      bytes[n++] = (unsigned char)(x->alive | x->paused << 1 | x->running << 2
                                   | x->known << 3 | x->instance << 4);
      bytes[n++] = (unsigned char)(x->queued | x->waiting << 4);
      bytes[n++] = x->started;
      if (!x->known)
        continue;
      for (uint32_t i = 0; i < r->waiter_count; i++)
        waiters |= (uint8_t)(1U << r->waiters[i].low);
      bytes[n++] = (unsigned char)r->state;
      bytes[n++] = (unsigned char)(r->owner.low | (uint64_t)waiters << 4);
      bytes[n++] = (unsigned char)(r->hops | r->hand_over.hops << 4);
      bytes[n++] = (unsigned char)r->from_incarnation;
      bytes[n++] = (unsigned char)r->hand_over.successor_incarnation;
    }
  bytes[n++] = w->message_count;
  memcpy (bytes + n, w->messages, w->message_count * sizeof w->messages[0]);
  n += w->message_count * sizeof w->messages[0];
  memcpy (bytes + n, w->hands, w->hand_count * sizeof w->hands[0]);
  n += w->hand_count * sizeof w->hands[0];
  memcpy (bytes + n, &w->budget, sizeof w->budget);
  n += sizeof w->budget;
  bytes[n++] = w->cut_entry;
  bytes[n++] = w->cut_instance;
  bytes[n++] = (unsigned char)(w->runs << 1 | w->refused);
  return XXH64 (bytes, n, 1);
}

static void
message_add (struct world *w, struct message msg)
{
  uint8_t i = w->message_count++;

  g_assert_cmpint (w->message_count, <, MAX_MESSAGES);
  for (; i > 0 && memcmp (&w->messages[i - 1], &msg, sizeof msg) > 0; i--)
    w->messages[i] = w->messages[i - 1];
  w->messages[i] = msg;
}

static void
message_remove (struct world *w, uint8_t i)
{
  w->message_count--;
  memmove (&w->messages[i], &w->messages[i + 1],
           (w->message_count - i) * sizeof w->messages[0]);
}

static bool
message_cut (const struct world *w, struct message msg)
{
  return msg.request % 2 == w->cut_entry && msg.instance == w->cut_instance;
}

static uint8_t
hand_index (struct world *w, struct hand h)
{
  uint8_t i = 0;

  while (i < w->hand_count && memcmp (&w->hands[i], &h, sizeof h) != 0)
    i++;
  if (i == w->hand_count)
    w->hands[w->hand_count++] = h;
  g_assert_cmpint (w->hand_count, <, MAX_HANDS);
  return i;
}

/* The entry of REQUEST takes the hand-over to the successor. */
static void
forward (struct world *w, struct hand h, uint8_t request)
{
  uint8_t hand = (uint8_t)(1 + hand_index (w, h));

  message_add (w,
               (struct message){ MESSAGE_CLAIM, request,
                                 w->processes[h.successor].instance, hand });
}

static uint8_t
process_named (const struct model *m, const struct world *w,
               uint64_t incarnation)
{
  uint8_t p = 0;

  while (p < w->process_count && incarnation_of (m, w, p) != incarnation)
    p++;
  g_assert_cmpint (p, <, w->process_count);
  return p;
}

static struct hand
hand_of (const struct model *m, const struct world *w, uint8_t from,
         const struct bd_hand_over *h)
{
  struct hand x = { process_named (m, w, h->successor_incarnation), from,
                    (uint8_t)h->hops };

  return x;
}

static void
claim_forward (struct model *m, struct world *w, uint8_t p, uint8_t request,
               const struct bd_hand_over *given)
{
  struct hand h = hand_of (m, w, p, given);

  if (m->broken == TWO_SUCCESSORS)
    for (uint8_t q = 0; q < SIDECARS; q++)
      if (q != h.successor && q != w->processes[p].instance)
        {
          h.successor = q;
          break;
        }
  forward (w, h, request);
}

static void
deliver_claim (struct model *m, struct world *w, uint8_t p, struct message msg)
{
  struct process *x = &w->processes[p];
  struct bd_custody *c = load (m, w, p);
  struct bd_hand_over h = { .key = the_key, .expires_wall_ms = 1000 };
  struct bd_custody_claim claim = { .key = the_key,
                                    .incarnation = FIRST_INCARNATION,
                                    .expires_wall_ms = 1000,
                                    .request = request_id (msg.request),
                                    .retry_window_ms = 1000 };
  struct bd_custody_answer answer;

  if (msg.hand > 0)
    {
      const struct hand *from = &w->hands[msg.hand - 1];

      h.successor_incarnation = incarnation_of (m, w, from->successor);
      h.from_incarnation = incarnation_of (m, w, from->from);
      h.hops = from->hops;
      claim.hand_over = &h;
    }
  if (m->broken == INCARNATION_IGNORED)
    claim.incarnation = h.successor_incarnation = c->settings.incarnation;
  bd_custody_claim (c, 0, 0, &claim, &answer);
  store (c, x);
  if (answer.verdict == BD_CUSTODY_RUN)
    x->queued |= (uint8_t)(1U << msg.request);
  if (answer.verdict == BD_CUSTODY_RUN || answer.verdict == BD_CUSTODY_JOIN)
    x->waiting |= (uint8_t)(1U << msg.request);
  else if (answer.verdict == BD_CUSTODY_REPLAY)
    g_assert_cmpint (w->runs, >, 0);
  else if (answer.error == BD_ERR_STALE)
    claim_forward (m, w, p, msg.request, answer.hand_over);
  else if (answer.ran == BD_RAN_NO)
    w->refused = true;
  else if (answer.ran == BD_RAN_YES)
    g_assert_cmpint (w->runs, >, 0);
}

static void
deliver_withdraw (struct model *m, struct world *w, uint8_t p,
                  struct message msg)
{
  struct process *x = &w->processes[p];
  struct bd_custody *c = load (m, w, p);
  int rc = bd_custody_withdraw (c, 0, the_key, request_id (msg.request));

  store (c, x);
  x->waiting &= (uint8_t) ~(1U << msg.request);
  if (m->broken == WITHDRAWN_BLINDLY)
    rc = BD_OK;
  if (rc != BD_OK)
    return;
  w->refused = true;
  if (m->broken == NO_TOMBSTONE)
    x->known = false;
}

static void
apply_deliver (struct model *m, struct world *w, struct action a)
{
  struct message msg = w->messages[a.a];

  message_remove (w, a.a);
  if (msg.kind == MESSAGE_CLAIM)
    deliver_claim (m, w, a.b, msg);
  else
    deliver_withdraw (m, w, a.b, msg);
}

static void
apply_hand (struct model *m, struct world *w, struct action a)
{
  struct process *x = &w->processes[a.a];
  struct bd_custody *c = load (m, w, a.a);
  const struct bd_hand_over *h;
  int rc = bd_custody_hand_over (c, 0, 0, the_key, BD_CHUNK ("successor"),
                                 incarnation_of (m, w, a.b), &h);

  w->budget.hand_overs--;
  store (c, x);
  if (rc != BD_OK)
    return;
  for (uint8_t r = 0; r < REQUESTS; r++)
    if (x->waiting & 1U << r)
      forward (w, hand_of (m, w, a.a, h), r);
  x->waiting = 0;
}

static void
process_add (struct world *w, uint8_t instance)
{
  w->processes[w->process_count++]
      = (struct process){ .alive = true, .instance = instance };
}

static void
apply_start (struct model *m, struct world *w, struct action a)
{
  struct process *x = &w->processes[a.a];
  struct bd_custody *c = load (m, w, a.a);

  x->queued &= (uint8_t) ~(1U << a.b);
  if (bd_custody_start (c, 0, the_key, request_id (a.b))
      || m->broken == START_NOT_ASKED)
    x->started = (uint8_t)(1 + a.b);
  store (c, x);
}

static void
apply_not_sent (struct model *m, struct world *w, struct action a)
{
  struct process *x = &w->processes[a.a];
  struct bd_custody *c = load (m, w, a.a);
  uint8_t request = (uint8_t)(x->started - 1);

  w->budget.not_sent--;
  bd_custody_not_sent (c, 0, the_key, request_id (request));
  store (c, x);
  x->started = 0;
  x->queued |= (uint8_t)(1U << request);
}

static void
apply_finish (struct model *m, struct world *w, struct action a)
{
  struct process *x = &w->processes[a.a];
  struct bd_custody *c = load (m, w, a.a);

  bd_custody_finish (c, 0, the_key, a.b ? BD_ERR_ENGINE : BD_OK, 200,
                     BD_CHUNK (""), BD_CHUNK ("too large to keep"));
  store (c, x);
  x->running = false;
  x->waiting = 0;
}

static void
apply_process (struct world *w, struct action a)
{
  struct process *x = &w->processes[a.a];

  switch (a.kind)
    {
    case ACTION_CRASH:
      w->budget.crashes--;
      *x = (struct process){ .instance = x->instance };
      process_add (w, x->instance);
      break;
    case ACTION_REPLACE:
      w->budget.crashes--;
      process_add (w, x->instance);
      break;
    case ACTION_PAUSE:
      w->budget.pauses--;
      x->paused = true;
      break;
    case ACTION_CONTINUE:
      x->paused = false;
      break;
    default: /* ACTION_SENT */
      x->started = 0;
      x->running = true;
      w->runs++;
      break;
    }
}

static void
apply_network (struct world *w, struct action a)
{
  switch (a.kind)
    {
    case ACTION_DUPLICATE:
      w->budget.duplicates--;
      message_add (w, w->messages[a.a]);
      break;
    case ACTION_WITHDRAW:
      w->budget.withdrawals &= (uint8_t) ~(1U << a.a);
      message_add (w, (struct message){ MESSAGE_WITHDRAW, a.a, a.b, 0 });
      break;
    case ACTION_CUT:
      w->budget.cuts--;
      w->cut_entry = a.a;
      w->cut_instance = a.b;
      break;
    default: /* ACTION_HEAL */
      w->cut_entry = ANY;
      w->cut_instance = ANY;
      break;
    }
}

static void
apply (struct model *m, struct world *w, struct action a)
{
  switch (a.kind)
    {
    case ACTION_DELIVER:
      apply_deliver (m, w, a);
      break;
    case ACTION_HAND:
      apply_hand (m, w, a);
      break;
    case ACTION_START:
      apply_start (m, w, a);
      break;
    case ACTION_NOT_SENT:
      apply_not_sent (m, w, a);
      break;
    case ACTION_FINISH:
      apply_finish (m, w, a);
      break;
    case ACTION_DUPLICATE:
    case ACTION_WITHDRAW:
    case ACTION_CUT:
    case ACTION_HEAL:
      apply_network (w, a);
      break;
    default:
      apply_process (w, a);
      break;
    }
}

#endif
