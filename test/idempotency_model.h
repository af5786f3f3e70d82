/*
 * Model for an exhaustive search: 2 entries, 3 sidecars, 1 key, and a network
 * that is a set of messages, each of which is delivered in any order, late,
 * twice or never.  The sidecars' decisions are made by the real idempotency.c.
 */
#ifndef IDEMPOTENCY_MODEL_H
#define IDEMPOTENCY_MODEL_H

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* States contain copies of records, so their layout is needed. */
#include "idempotency/idempotency.c" /* NOLINT(bugprone-suspicious-include) */

#define SIDECARS 3
#define PROCESSES 4 /* One more, for a restart or replacement. */
#define REQUESTS 2
#define MAX_MESSAGES 16
#define MAX_HANDOVERS 8
#define MAX_ACTIONS 160
#define MAX_DEPTH 80
#define FIRST_INCARNATION 10
#define NO_PARTITION 255

enum mutation
{
  CORRECT = 0,
  TWO_SUCCESSORS,      /* Each duplicate gets another successor. */
  NO_TOMBSTONE,        /* A withdrawn key is forgotten. */
  INCARNATION_IGNORED, /* Any sidecar accepts the key. */
  START_NOT_ASKED,   /* Queued requests run without bd_idempotency_start (). */
  WITHDRAWN_BLINDLY, /* A withdrawal is always confirmed. */
  REPLACED_KEEPS_NAME /* A new process reuses the old incarnation. */
};

enum message_kind
{
  MESSAGE_CLAIM,
  MESSAGE_WITHDRAW
};

struct message
{
  uint8_t kind;
  uint8_t request;  /* Sent by entry REQUEST % 2. */
  uint8_t instance; /* Destination. */
  uint8_t handover; /* 1 + index of a handover; 0: none. */
};

struct handover
{
  uint8_t successor; /* Index of a process. */
  uint8_t from;
  uint8_t hops;
};

struct process
{
  bool alive;
  bool paused;
  uint8_t instance;
  /* Bit masks of requests: */
  uint8_t queued_requests;
  uint8_t waiting_requests;
  uint8_t started_request; /* 1 + started request; 0: none. */
  bool running;
  bool has_record; /* RECORD is valid. */
  struct record record;
};

struct budget
{
  uint8_t duplicates;
  uint8_t withdrawals; /* Requests that may be withdrawn, one bit each. */
  uint8_t handovers;
  uint8_t crashes;
  uint8_t pauses;
  uint8_t partitions;
  uint8_t not_sent;
};

struct model_state
{
  struct process processes[PROCESSES];
  uint8_t process_count;
  struct message messages[MAX_MESSAGES];
  uint8_t message_count;
  struct handover handovers[MAX_HANDOVERS];
  uint8_t handover_count;
  struct budget budget;
  uint8_t cut_entry; /* Entry of the cut link, or NO_PARTITION. */
  uint8_t cut_instance;
  uint8_t run_count;
  bool reported_not_run; /* A request was told that the key did not run. */
};

enum action_kind
{
  ACTION_DELIVER, /* Message A to process B. */
  ACTION_DUPLICATE,
  ACTION_WITHDRAW,  /* Request A at instance B. */
  ACTION_HAND_OVER, /* From process A to process B. */
  ACTION_CRASH,
  ACTION_PAUSE,
  ACTION_REPLACE, /* A new process while A is paused. */
  ACTION_CONTINUE,
  ACTION_START, /* Request B at process A. */
  ACTION_SENT,
  ACTION_NOT_SENT,
  ACTION_FINISH, /* With error B. */
  ACTION_CUT,    /* Entry A from instance B. */
  ACTION_RECONNECT
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

/* The model, correct or with a mutation. */
struct model
{
  enum mutation mutation;
  struct bd_idempotency *idempotency[PROCESSES];
};

static const struct bd_key the_key = { .id = { 1, 2 } };

static uint64_t
incarnation_of (const struct model *m, const struct model_state *state,
                uint8_t p)
{
  if (m->mutation == REPLACED_KEEPS_NAME)
    return FIRST_INCARNATION + state->processes[p].instance;
  return FIRST_INCARNATION + (uint64_t)p;
}

static struct bd_id
request_id (uint8_t request)
{
  return (struct bd_id){ 3, request };
}

/* Loads the process's record into a bd_idempotency, for a call. */
static struct bd_idempotency *
load_record (struct model *m, const struct model_state *state, uint8_t p)
{
  struct bd_idempotency *idempotency = m->idempotency[p];
  const struct process *process = &state->processes[p];

  idempotency->settings.incarnation = incarnation_of (m, state, p);
  idempotency->count = idempotency->high_water = process->has_record;
  idempotency->free_list = NONE;
  idempotency->records[0] = process->record;
  if (process->has_record)
    bd_map_put (idempotency->by_key, the_key.id, 0, &idempotency->records[0]);
  else
    bd_map_remove (idempotency->by_key, the_key.id, 0);
  return idempotency;
}

static void
store_record (const struct bd_idempotency *idempotency,
              struct process *process)
{
  process->has_record = idempotency->count > 0;
  if (process->has_record)
    process->record = idempotency->records[0];
}

static uint64_t
digest (const struct model_state *state)
{
  unsigned char bytes[256];
  size_t n = 0;

  for (uint8_t p = 0; p < state->process_count; p++)
    {
      const struct process *process = &state->processes[p];
      const struct record *r = &process->record;
      uint8_t waiters = 0;

      bytes[n++]
          = (unsigned char)(process->alive | process->paused << 1
                            | process->running << 2 | process->has_record << 3
                            | process->instance << 4);
      bytes[n++] = (unsigned char)(process->queued_requests
                                   | process->waiting_requests << 4);
      bytes[n++] = process->started_request;
      if (!process->has_record)
        continue;
      for (uint32_t i = 0; i < r->waiter_count; i++)
        waiters |= (uint8_t)(1U << r->waiters[i].low);
      bytes[n++] = (unsigned char)r->state;
      bytes[n++]
          = (unsigned char)(r->run_request.low | (uint64_t)waiters << 4);
      bytes[n++] = (unsigned char)(r->hops | r->issued_handover.hops << 4);
      bytes[n++] = (unsigned char)r->from_incarnation;
      bytes[n++] = (unsigned char)r->issued_handover.successor_incarnation;
    }
  bytes[n++] = state->message_count;
  memcpy (bytes + n, state->messages,
          state->message_count * sizeof state->messages[0]);
  n += state->message_count * sizeof state->messages[0];
  memcpy (bytes + n, state->handovers,
          state->handover_count * sizeof state->handovers[0]);
  n += state->handover_count * sizeof state->handovers[0];
  memcpy (bytes + n, &state->budget, sizeof state->budget);
  n += sizeof state->budget;
  bytes[n++] = state->cut_entry;
  bytes[n++] = state->cut_instance;
  bytes[n++]
      = (unsigned char)(state->run_count << 1 | state->reported_not_run);
  return XXH64 (bytes, n, 1);
}

static void
message_add (struct model_state *state, struct message msg)
{
  uint8_t i = state->message_count++;

  g_assert_cmpint (state->message_count, <, MAX_MESSAGES);
  for (; i > 0 && memcmp (&state->messages[i - 1], &msg, sizeof msg) > 0; i--)
    state->messages[i] = state->messages[i - 1];
  state->messages[i] = msg;
}

static void
message_remove (struct model_state *state, uint8_t i)
{
  state->message_count--;
  memmove (&state->messages[i], &state->messages[i + 1],
           (state->message_count - i) * sizeof state->messages[0]);
}

static bool
message_is_cut (const struct model_state *state, struct message msg)
{
  return msg.request % 2 == state->cut_entry
         && msg.instance == state->cut_instance;
}

static uint8_t
handover_index (struct model_state *state, struct handover h)
{
  uint8_t i = 0;

  while (i < state->handover_count
         && memcmp (&state->handovers[i], &h, sizeof h) != 0)
    i++;
  if (i == state->handover_count)
    state->handovers[state->handover_count++] = h;
  g_assert_cmpint (state->handover_count, <, MAX_HANDOVERS);
  return i;
}

/* The entry of REQUEST sends the handover to the successor. */
static void
forward (struct model_state *state, struct handover h, uint8_t request)
{
  uint8_t handover = (uint8_t)(1 + handover_index (state, h));

  message_add (state, (struct message){ MESSAGE_CLAIM, request,
                                        state->processes[h.successor].instance,
                                        handover });
}

static uint8_t
process_of_incarnation (const struct model *m, const struct model_state *state,
                        uint64_t incarnation)
{
  uint8_t p = 0;

  while (p < state->process_count
         && incarnation_of (m, state, p) != incarnation)
    p++;
  g_assert_cmpint (p, <, state->process_count);
  return p;
}

static struct handover
handover_of (const struct model *m, const struct model_state *state,
             uint8_t from, const struct bd_handover *h)
{
  struct handover handover
      = { process_of_incarnation (m, state, h->successor_incarnation), from,
          (uint8_t)h->hops };

  return handover;
}

static void
forward_claims (struct model *m, struct model_state *state, uint8_t p,
                uint8_t request, const struct bd_handover *given)
{
  struct handover h = handover_of (m, state, p, given);

  if (m->mutation == TWO_SUCCESSORS)
    for (uint8_t q = 0; q < SIDECARS; q++)
      if (q != h.successor && q != state->processes[p].instance)
        {
          h.successor = q;
          break;
        }
  forward (state, h, request);
}

static void
deliver_claim (struct model *m, struct model_state *state, uint8_t p,
               struct message msg)
{
  struct process *process = &state->processes[p];
  struct bd_idempotency *idempotency = load_record (m, state, p);
  struct bd_handover h = { .key = the_key, .expires_wall_ms = 1000 };
  struct bd_idempotency_claim claim = { .key = the_key,
                                        .incarnation = FIRST_INCARNATION,
                                        .expires_wall_ms = 1000,
                                        .request = request_id (msg.request),
                                        .retry_window_ms = 1000 };
  struct bd_idempotency_answer answer;

  if (msg.handover > 0)
    {
      const struct handover *from = &state->handovers[msg.handover - 1];

      h.successor_incarnation = incarnation_of (m, state, from->successor);
      h.from_incarnation = incarnation_of (m, state, from->from);
      h.hops = from->hops;
      claim.received_handover = &h;
    }
  if (m->mutation == INCARNATION_IGNORED)
    claim.incarnation = h.successor_incarnation
        = idempotency->settings.incarnation;
  bd_idempotency_claim (idempotency, 0, 0, &claim, &answer);
  store_record (idempotency, process);
  if (answer.verdict == BD_IDEMPOTENCY_RUN)
    process->queued_requests |= (uint8_t)(1U << msg.request);
  if (answer.verdict == BD_IDEMPOTENCY_RUN
      || answer.verdict == BD_IDEMPOTENCY_JOIN)
    process->waiting_requests |= (uint8_t)(1U << msg.request);
  else if (answer.verdict == BD_IDEMPOTENCY_REPLAY)
    g_assert_cmpint (state->run_count, >, 0);
  else if (answer.error == BD_ERR_STALE)
    forward_claims (m, state, p, msg.request, answer.issued_handover);
  else if (answer.ran == BD_RAN_NO)
    state->reported_not_run = true;
  else if (answer.ran == BD_RAN_YES)
    g_assert_cmpint (state->run_count, >, 0);
}

static void
deliver_withdraw (struct model *m, struct model_state *state, uint8_t p,
                  struct message msg)
{
  struct process *process = &state->processes[p];
  struct bd_idempotency *idempotency = load_record (m, state, p);
  int rc = bd_idempotency_withdraw (idempotency, 0, the_key,
                                    request_id (msg.request));

  store_record (idempotency, process);
  process->waiting_requests &= (uint8_t) ~(1U << msg.request);
  if (m->mutation == WITHDRAWN_BLINDLY)
    rc = BD_OK;
  if (rc != BD_OK)
    return;
  state->reported_not_run = true;
  if (m->mutation == NO_TOMBSTONE)
    process->has_record = false;
}

static void
apply_deliver (struct model *m, struct model_state *state, struct action a)
{
  struct message msg = state->messages[a.a];

  message_remove (state, a.a);
  if (msg.kind == MESSAGE_CLAIM)
    deliver_claim (m, state, a.b, msg);
  else
    deliver_withdraw (m, state, a.b, msg);
}

static void
apply_hand_over (struct model *m, struct model_state *state, struct action a)
{
  struct process *process = &state->processes[a.a];
  struct bd_idempotency *idempotency = load_record (m, state, a.a);
  const struct bd_handover *h;
  int rc = bd_idempotency_hand_over (idempotency, 0, 0, the_key,
                                     BD_CHUNK ("successor"),
                                     incarnation_of (m, state, a.b), &h);

  state->budget.handovers--;
  store_record (idempotency, process);
  if (rc != BD_OK)
    return;
  for (uint8_t r = 0; r < REQUESTS; r++)
    if (process->waiting_requests & 1U << r)
      forward (state, handover_of (m, state, a.a, h), r);
  process->waiting_requests = 0;
}

static void
process_add (struct model_state *state, uint8_t instance)
{
  state->processes[state->process_count++]
      = (struct process){ .alive = true, .instance = instance };
}

static void
apply_start (struct model *m, struct model_state *state, struct action a)
{
  struct process *process = &state->processes[a.a];
  struct bd_idempotency *idempotency = load_record (m, state, a.a);

  process->queued_requests &= (uint8_t) ~(1U << a.b);
  if (bd_idempotency_start (idempotency, 0, the_key, request_id (a.b))
      || m->mutation == START_NOT_ASKED)
    process->started_request = (uint8_t)(1 + a.b);
  store_record (idempotency, process);
}

static void
apply_not_sent (struct model *m, struct model_state *state, struct action a)
{
  struct process *process = &state->processes[a.a];
  struct bd_idempotency *idempotency = load_record (m, state, a.a);
  uint8_t request = (uint8_t)(process->started_request - 1);

  state->budget.not_sent--;
  bd_idempotency_undo_start (idempotency, 0, the_key, request_id (request));
  store_record (idempotency, process);
  process->started_request = 0;
  process->queued_requests |= (uint8_t)(1U << request);
}

static void
apply_finish (struct model *m, struct model_state *state, struct action a)
{
  struct process *process = &state->processes[a.a];
  struct bd_idempotency *idempotency = load_record (m, state, a.a);

  bd_idempotency_finish (idempotency, 0, the_key, a.b ? BD_ERR_ENGINE : BD_OK,
                         200, BD_CHUNK (""), BD_CHUNK ("too large to keep"));
  store_record (idempotency, process);
  process->running = false;
  process->waiting_requests = 0;
}

static void
apply_process (struct model_state *state, struct action a)
{
  struct process *process = &state->processes[a.a];

  switch (a.kind)
    {
    case ACTION_CRASH:
      state->budget.crashes--;
      *process = (struct process){ .instance = process->instance };
      process_add (state, process->instance);
      break;
    case ACTION_REPLACE:
      state->budget.crashes--;
      process_add (state, process->instance);
      break;
    case ACTION_PAUSE:
      state->budget.pauses--;
      process->paused = true;
      break;
    case ACTION_CONTINUE:
      process->paused = false;
      break;
    default: /* ACTION_SENT */
      process->started_request = 0;
      process->running = true;
      state->run_count++;
      break;
    }
}

static void
apply_network (struct model_state *state, struct action a)
{
  switch (a.kind)
    {
    case ACTION_DUPLICATE:
      state->budget.duplicates--;
      message_add (state, state->messages[a.a]);
      break;
    case ACTION_WITHDRAW:
      state->budget.withdrawals &= (uint8_t) ~(1U << a.a);
      message_add (state, (struct message){ MESSAGE_WITHDRAW, a.a, a.b, 0 });
      break;
    case ACTION_CUT:
      state->budget.partitions--;
      state->cut_entry = a.a;
      state->cut_instance = a.b;
      break;
    default: /* ACTION_RECONNECT */
      state->cut_entry = NO_PARTITION;
      state->cut_instance = NO_PARTITION;
      break;
    }
}

static void
apply (struct model *m, struct model_state *state, struct action a)
{
  switch (a.kind)
    {
    case ACTION_DELIVER:
      apply_deliver (m, state, a);
      break;
    case ACTION_HAND_OVER:
      apply_hand_over (m, state, a);
      break;
    case ACTION_START:
      apply_start (m, state, a);
      break;
    case ACTION_NOT_SENT:
      apply_not_sent (m, state, a);
      break;
    case ACTION_FINISH:
      apply_finish (m, state, a);
      break;
    case ACTION_DUPLICATE:
    case ACTION_WITHDRAW:
    case ACTION_CUT:
    case ACTION_RECONNECT:
      apply_network (state, a);
      break;
    default:
      apply_process (state, a);
      break;
    }
}

#endif
