#include "gateway/asker.h"

#include "common/clock.h"
#include "common/log.h"
#include "gateway/rank.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/* Reports are collected for this long before they are sent.  Each is sent this
   many times, because datagrams get lost. */
#define REPORT_EVERY_MS 20
#define REPORT_SENDS 2
/* Most coordinators that reports are collected for at a time. */
#define OUTBOXES_MAX 32
/* Consecutive timeouts after which an instance is skipped; how long it is
   skipped at first, doubled each time, and at most. */
#define UNANSWERED_MAX 2
#define PASS_FIRST_MS 1000
#define PASS_MOST_MS 8000
/* Most instances whose timeouts are remembered. */
#define SILENT_MAX 32
/* How long the coordinator chosen for a shard is cached, and the most shards
   in the cache (a shard has 64 runners). */
#define RANK_KEEP_MS 100
#define RANKS_MAX 256

struct question
{
  struct question *next;
  struct bd_asked *asked;
  bd_asker_on_answer on_answer;
  void *context;
  uint32_t ip;
  uint32_t number;
  int64_t asked_ms;
};

struct outbox
{
  uint32_t ip; /* Network byte order; 0: entry is free. */
  size_t count;
  struct bd_placing_report reports[BD_PLACING_REPORTS_MAX];
  uint8_t sends_left[BD_PLACING_REPORTS_MAX];
};

struct silent
{
  uint32_t ip; /* Network byte order; 0: entry is free. */
  uint32_t unanswered;
  uint32_t passes;
  int64_t pass_until_ms;
};

struct ranking
{
  uint64_t key;
  int64_t made_ms;
  uint32_t ip; /* Network byte order; 0: no coordinator. */
  bool known;  /* IP has been determined at least once. */
};

struct bd_asker
{
  struct bd_asker_options options;
  struct bd_mesh *mesh;
  uv_timer_t timeout;
  uv_timer_t flush;
  bool flushing;
  /* Oldest pending query; the queue is in the order of sending. */
  struct question *first;
  struct question *last;
  uint32_t number;
  struct outbox outboxes[OUTBOXES_MAX];
  struct silent silent[SILENT_MAX];
  struct ranking rankings[RANKS_MAX];
  size_t ranking_count;
  bd_asker_on_move on_move;
  void *move_context;
  uint32_t moving_to;
  /* Notices for MOVING_TO that are not sent yet. */
  struct bd_placing_message moving;
};

/* Choice of the coordinator. */

static struct silent *
find_silent (struct bd_asker *asker, uint32_t ip)
{
  for (size_t i = 0; i < SILENT_MAX; i++)
    if (asker->silent[i].ip == ip)
      return &asker->silent[i];
  return NULL;
}

static bool
passed_over (struct bd_asker *asker, uint32_t ip, int64_t now_ms)
{
  const struct silent *silent = find_silent (asker, ip);

  return silent && now_ms < silent->pass_until_ms;
}

static void
note_unanswered (struct bd_asker *asker, uint32_t ip, int64_t now_ms)
{
  struct silent *silent = find_silent (asker, ip);
  int64_t pass_ms = PASS_FIRST_MS;

  bd_stats_count (asker->options.stats, BD_STAT_ASKS_UNANSWERED, 1);
  if (!silent)
    silent = find_silent (asker, 0);
  if (!silent)
    return;
  silent->ip = ip;
  if (now_ms < silent->pass_until_ms || ++silent->unanswered < UNANSWERED_MAX)
    return;
  for (uint32_t i = 0; i < silent->passes && pass_ms < PASS_MOST_MS; i++)
    pass_ms *= 2;
  silent->unanswered = 0;
  silent->passes++;
  silent->pass_until_ms = now_ms + pass_ms;
  for (size_t i = 0; i < RANKS_MAX; i++)
    asker->rankings[i].made_ms = 0;
  bd_log (BD_EVENT_COORDINATOR, "ip=%08x state=silent for_ms=%lld", ntohl (ip),
          (long long)pass_ms);
}

static void
note_answered (struct bd_asker *asker, uint32_t ip)
{
  struct silent *silent = find_silent (asker, ip);

  if (silent)
    memset (silent, 0, sizeof *silent);
}

/* Returns the highest ranked instance that is not skipped; 0: none. */
static uint32_t
rank (struct bd_asker *asker, uint64_t key, int64_t now_ms)
{
  uint32_t ips[BD_RANK_MAX];
  size_t count
      = bd_mesh_rank (asker->mesh, key, now_ms, false, ips, BD_RANK_MAX);

  for (size_t i = 0; i < count; i++)
    if (!passed_over (asker, ips[i], now_ms))
      return ips[i];
  return 0;
}

/* Returns the entry for KEY; a new one replaces the oldest when all are in
   use. */
static struct ranking *
need_ranking (struct bd_asker *asker, uint64_t key)
{
  struct ranking *oldest = &asker->rankings[0];

  for (size_t i = 0; i < asker->ranking_count; i++)
    {
      if (asker->rankings[i].key == key)
        return &asker->rankings[i];
      if (asker->rankings[i].made_ms < oldest->made_ms)
        oldest = &asker->rankings[i];
    }
  if (asker->ranking_count < RANKS_MAX)
    oldest = &asker->rankings[asker->ranking_count++];
  *oldest = (struct ranking){ .key = key };
  return oldest;
}

static uint32_t
coordinator_of (struct bd_asker *asker, uint64_t key, int64_t now_ms)
{
  struct ranking *ranking = need_ranking (asker, key);
  uint32_t ip;
  bool moved;

  if (ranking->made_ms != 0 && now_ms - ranking->made_ms < RANK_KEEP_MS)
    return ranking->ip;
  ip = rank (asker, key, now_ms);
  moved = !ranking->known || ranking->ip != ip;
  *ranking = (struct ranking){ key, now_ms, ip, true };
  if (!moved)
    return ip;
  bd_log (BD_EVENT_COORDINATOR, "ip=%08x state=asked key=%016llx", ntohl (ip),
          (unsigned long long)key);
  if (ip != 0 && asker->on_move)
    asker->on_move (asker->move_context, key, ip);
  return ip;
}

/* Queries. */

static struct question *
take_question (struct bd_asker *asker, uint32_t number)
{
  struct question *before = NULL;
  struct question *question = asker->first;

  while (question && question->number != number)
    {
      before = question;
      question = question->next;
    }
  if (!question)
    return NULL;
  if (before)
    before->next = question->next;
  else
    asker->first = question->next;
  if (asker->last == question)
    asker->last = before;
  return question;
}

static void
settle (struct question *question, const struct bd_placing_answer *answer)
{
  bd_asker_on_answer on_answer = question->on_answer;
  void *context = question->context;

  question->asked->waiting = false;
  free (question);
  on_answer (context, answer);
}

static void
on_timeout (uv_timer_t *timer)
{
  struct bd_asker *asker = timer->data;
  int64_t now = bd_clock_boot_ms ();

  while (asker->first && now - asker->first->asked_ms >= BD_ASK_TIMEOUT_MS)
    {
      struct question *question = take_question (asker, asker->first->number);

      note_unanswered (asker, question->ip, now);
      settle (question, NULL);
    }
  if (asker->first)
    uv_timer_start (
        timer, on_timeout,
        (uint64_t)(asker->first->asked_ms + BD_ASK_TIMEOUT_MS - now), 0);
}

static bool
wait_for_answer (struct bd_asker *asker, struct bd_asked *asked,
                 bd_asker_on_answer on_answer, void *context)
{
  struct question *question = calloc (1, sizeof *question);

  if (!question)
    return false;
  *question = (struct question){
    NULL,      asked,         on_answer,          context,
    asked->ip, asked->number, bd_clock_boot_ms ()
  };
  asked->waiting = true;
  if (asker->last)
    asker->last->next = question;
  else
    {
      asker->first = question;
      uv_timer_start (&asker->timeout, on_timeout, BD_ASK_TIMEOUT_MS, 0);
    }
  asker->last = question;
  return true;
}

enum bd_asker_state
bd_asker_ask (struct bd_asker *asker, struct bd_placing_ask *ask,
              struct bd_asked *asked, struct bd_placing_answer *answer,
              bd_asker_on_answer on_answer, void *context)
{
  int64_t now = bd_clock_boot_ms ();
  uint64_t key = bd_coordinator_key (ask->service, ask->shard);
  struct bd_placing_message message = { .kind = BD_PLACING_ASK };

  *asked = (struct bd_asked){ 0 };
  if (!asker->mesh)
    return BD_ASKER_NOBODY;
  asked->number = ++asker->number;
  asked->key = key;
  ask->number = asked->number;
  asked->ip = coordinator_of (asker, key, now);
  if (asked->ip == 0)
    return BD_ASKER_NOBODY;
  if (asked->ip == asker->options.ip)
    {
      *answer = bd_coordinator_decide (asker->options.coordinator, asked->ip,
                                       ask, now);
      return BD_ASKER_DECIDED;
    }
  if (!wait_for_answer (asker, asked, on_answer, context))
    return BD_ASKER_NOBODY;
  bd_stats_count (asker->options.stats, BD_STAT_ASKED, 1);
  message.ask = *ask;
  bd_mesh_send (asker->mesh, asked->ip, &message);
  return BD_ASKER_ASKED;
}

/* Reports. */

static bool
send_outbox (struct bd_asker *asker, struct outbox *outbox)
{
  struct bd_placing_message message = { .kind = BD_PLACING_REPORTS };
  size_t kept = 0;

  message.reports.count = outbox->count;
  memcpy (message.reports.items, outbox->reports,
          outbox->count * sizeof outbox->reports[0]);
  bd_mesh_send (asker->mesh, outbox->ip, &message);
  for (size_t i = 0; i < outbox->count; i++)
    if (--outbox->sends_left[i] > 0)
      {
        outbox->reports[kept] = outbox->reports[i];
        outbox->sends_left[kept++] = outbox->sends_left[i];
      }
  outbox->count = kept;
  if (kept == 0)
    outbox->ip = 0;
  return kept > 0;
}

static void
on_flush (uv_timer_t *timer)
{
  struct bd_asker *asker = timer->data;
  bool more = false;

  for (size_t i = 0; i < OUTBOXES_MAX; i++)
    if (asker->outboxes[i].ip != 0)
      more |= send_outbox (asker, &asker->outboxes[i]);
  asker->flushing = more;
  if (more)
    uv_timer_start (timer, on_flush, REPORT_EVERY_MS, 0);
}

static struct outbox *
need_outbox (struct bd_asker *asker, uint32_t ip)
{
  struct outbox *free_one = NULL;

  for (size_t i = 0; i < OUTBOXES_MAX; i++)
    {
      if (asker->outboxes[i].ip == ip)
        return &asker->outboxes[i];
      if (asker->outboxes[i].ip == 0)
        free_one = &asker->outboxes[i];
    }
  if (!free_one)
    free_one = &asker->outboxes[0];
  free_one->ip = ip;
  free_one->count = 0;
  return free_one;
}

static void
report (struct bd_asker *asker, uint32_t ip,
        const struct bd_placing_report *what)
{
  struct outbox *outbox;

  if (ip == 0 || !asker->mesh)
    return;
  if (ip == asker->options.ip)
    {
      bd_coordinator_report (asker->options.coordinator, ip, what,
                             bd_clock_boot_ms ());
      return;
    }
  outbox = need_outbox (asker, ip);
  if (outbox->count == BD_PLACING_REPORTS_MAX)
    send_outbox (asker, outbox);
  if (outbox->count == BD_PLACING_REPORTS_MAX)
    outbox->count = 0; /* Each report has been sent at least once. */
  outbox->ip = ip;
  outbox->reports[outbox->count] = *what;
  outbox->sends_left[outbox->count++] = REPORT_SENDS;
  if (!asker->flushing)
    uv_timer_start (&asker->flush, on_flush, REPORT_EVERY_MS, 0);
  asker->flushing = true;
}

void
bd_asker_begun (struct bd_asker *asker, const struct bd_asked *asked)
{
  struct bd_placing_report what = { .number = asked->number };

  report (asker, asked->ip, &what);
}

void
bd_asker_ended (struct bd_asker *asker, struct bd_asked *asked,
                const struct bd_outcome *outcome)
{
  struct bd_placing_report what = { .number = asked->number, .ended = true };

  if (outcome)
    what.outcome = *outcome;
  report (asker, asked->ip, &what);
  asked->ip = 0;
}

void
bd_asker_drop (struct bd_asker *asker, struct bd_asked *asked)
{
  struct question *question;

  if (!asked->waiting)
    return;
  question = take_question (asker, asked->number);
  asked->waiting = false;
  free (question);
  bd_asker_ended (asker, asked, NULL);
}

/* Sends the collected notices. */
static void
send_moving (struct bd_asker *asker)
{
  if (asker->moving.placed.count > 0)
    bd_mesh_send (asker->mesh, asker->moving_to, &asker->moving);
  asker->moving.placed.count = 0;
}

static void
tell_placed (struct bd_asker *asker, uint32_t ip,
             const struct bd_placing_placed *placed)
{
  struct bd_placing_message *message = &asker->moving;

  if (ip == asker->options.ip)
    {
      bd_coordinator_placed (asker->options.coordinator, ip, placed,
                             bd_clock_boot_ms ());
      return;
    }
  if (asker->moving_to != ip || message->placed.count == BD_PLACING_PLACED_MAX)
    send_moving (asker);
  asker->moving_to = ip;
  message->kind = BD_PLACING_PLACED;
  message->placed.items[message->placed.count++] = *placed;
}

void
bd_asker_placed (struct bd_asker *asker, struct bd_asked *asked,
                 struct bd_placing_placed *placed)
{
  if (asked->ip == 0)
    return;
  placed->number = asked->number;
  tell_placed (asker, asked->ip, placed);
  send_moving (asker);
}

void
bd_asker_move (struct bd_asker *asker, struct bd_asked *asked, uint32_t ip,
               struct bd_placing_placed *placed)
{
  bd_asker_ended (asker, asked, NULL);
  asked->ip = ip;
  placed->number = asked->number;
  tell_placed (asker, ip, placed);
}

void
bd_asker_moved (struct bd_asker *asker)
{
  send_moving (asker);
}

void
bd_asker_watch (struct bd_asker *asker, bd_asker_on_move on_move,
                void *context)
{
  asker->on_move = on_move;
  asker->move_context = context;
}

static void
take_answer (struct bd_asker *asker, uint32_t ip,
             const struct bd_placing_answer *answer)
{
  struct question *question = take_question (asker, answer->number);

  note_answered (asker, ip);
  /* A reply that comes after the timeout needs no correction here: the
     instance placed the request itself and has reported that. */
  if (question)
    settle (question, answer);
}

void
bd_asker_take (struct bd_asker *asker, uint32_t ip,
               const struct bd_placing_message *message)
{
  if (message->kind == BD_PLACING_ANSWER)
    take_answer (asker, ip, &message->answer);
  else
    bd_coordinator_take (asker->options.coordinator, ip, message,
                         bd_clock_boot_ms ());
}

void
bd_asker_connect (struct bd_asker *asker, struct bd_mesh *mesh)
{
  asker->mesh = mesh;
  bd_coordinator_connect (asker->options.coordinator, mesh);
}

struct bd_asker *
bd_asker_create (const struct bd_asker_options *options)
{
  struct bd_asker *asker = calloc (1, sizeof *asker);

  if (!asker)
    return NULL;
  asker->options = *options;
  uv_timer_init (options->loop, &asker->timeout);
  uv_timer_init (options->loop, &asker->flush);
  asker->timeout.data = asker;
  asker->flush.data = asker;
  return asker;
}
