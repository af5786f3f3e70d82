/*
 * Exhaustive search over custody.  Every action uses up a message or part of
 * a budget, so the graph of states ends by itself and is visited whole.  A
 * state in which a message is still on its way covers the one in which it
 * was lost.  States are told apart by a 64-bit digest.
 */
#include "custody_world.h"

#define MAX_ACTIONS 160
#define MAX_DEPTH 80

struct search
{
  struct model model;
  uint64_t *seen; /* Digests; 0 is free. */
  size_t seen_mask;
  size_t states;
  size_t transitions;
  size_t deepest;
  struct action path[MAX_DEPTH];
  size_t fault_depth; /* 0: no fault was found. */
};

struct action_list
{
  struct action actions[MAX_ACTIONS];
  size_t count;
};

static void
list_add (struct action_list *l, enum action_kind kind, uint8_t a, uint8_t b)
{
  g_assert_cmpuint (l->count, <, MAX_ACTIONS);
  l->actions[l->count++] = (struct action){ (uint8_t)kind, a, b };
}

static void
list_messages (const struct world *w, struct action_list *l)
{
  for (uint8_t i = 0; i < w->message_count; i++)
    {
      struct message m = w->messages[i];

      if (i > 0 && memcmp (&m, &w->messages[i - 1], sizeof m) == 0)
        continue;
      if (w->budget.duplicates > 0)
        list_add (l, ACTION_DUPLICATE, i, 0);
      for (uint8_t p = 0; p < w->process_count; p++)
        if (w->processes[p].alive && !w->processes[p].paused
            && w->processes[p].instance == m.instance && !message_cut (w, m))
          list_add (l, ACTION_DELIVER, i, p);
    }
  for (uint8_t r = 0; r < REQUESTS; r++)
    for (uint8_t i = 0; i < SIDECARS && w->budget.withdrawals & 1U << r; i++)
      list_add (l, ACTION_WITHDRAW, r, i);
}

static void
list_work (const struct world *w, uint8_t p, struct action_list *l)
{
  const struct process *x = &w->processes[p];

  for (uint8_t r = 0; r < REQUESTS; r++)
    if (x->queued & 1U << r && x->started == 0 && !x->running)
      list_add (l, ACTION_START, p, r);
  for (uint8_t q = 0; q < w->process_count && w->budget.hand_overs > 0; q++)
    if (x->known && x->record.state == STATE_QUEUED
        && w->processes[q].instance != x->instance)
      list_add (l, ACTION_HAND, p, q);
  if (x->started > 0)
    list_add (l, ACTION_SENT, p, 0);
  if (x->started > 0 && w->budget.not_sent > 0)
    list_add (l, ACTION_NOT_SENT, p, 0);
  for (uint8_t error = 0; error < 2 && x->running; error++)
    list_add (l, ACTION_FINISH, p, error);
}

static void
list_faults (const struct world *w, struct action_list *l)
{
  for (uint8_t p = 0; p < w->process_count; p++)
    {
      const struct process *x = &w->processes[p];

      if (!x->alive)
        continue;
      if (w->budget.crashes > 0)
        list_add (l, x->paused ? ACTION_REPLACE : ACTION_CRASH, p, 0);
      if (x->paused)
        list_add (l, ACTION_CONTINUE, p, 0);
      else if (w->budget.pauses > 0)
        list_add (l, ACTION_PAUSE, p, 0);
    }
  if (w->cut_entry != ANY)
    list_add (l, ACTION_HEAL, 0, 0);
  for (uint8_t e = 0; e < 2 && w->budget.cuts > 0; e++)
    for (uint8_t i = 0; i < SIDECARS; i++)
      list_add (l, ACTION_CUT, e, i);
}

static void
list_actions (const struct world *w, struct action_list *l)
{
  l->count = 0;
  list_messages (w, l);
  for (uint8_t p = 0; p < w->process_count; p++)
    if (w->processes[p].alive && !w->processes[p].paused)
      list_work (w, p, l);
  list_faults (w, l);
}

static void
seen_grow (struct search *s)
{
  uint64_t *old = s->seen;
  size_t count = s->seen_mask + 1;

  s->seen = g_new0 (uint64_t, count * 2);
  s->seen_mask = count * 2 - 1;
  for (size_t k = 0; k < count; k++)
    if (old[k] != 0)
      {
        size_t i = old[k] & s->seen_mask;

        while (s->seen[i] != 0)
          i = (i + 1) & s->seen_mask;
        s->seen[i] = old[k];
      }
  g_free (old);
}

/* Returns false when the state was seen before. */
static bool
seen_add (struct search *s, uint64_t d)
{
  size_t i;

  d += d == 0;
  if (s->states * 3 > s->seen_mask * 2)
    seen_grow (s);
  for (i = d & s->seen_mask; s->seen[i] != 0; i = (i + 1) & s->seen_mask)
    if (s->seen[i] == d)
      return false;
  s->seen[i] = d;
  s->states++;
  return true;
}

static bool
faulty (const struct world *w)
{
  return w->runs > 1 || (w->refused && w->runs > 0);
}

/* Visits all states that follow; false once a fault was found. */
static bool
visit (struct search *s, const struct world *w, size_t depth)
{
  struct action_list list;

  if (depth > s->deepest)
    s->deepest = depth;
  g_assert_cmpuint (depth, <, MAX_DEPTH);
  list_actions (w, &list);
  for (size_t i = 0; i < list.count; i++)
    {
      struct world next = *w;

      apply (&s->model, &next, list.actions[i]);
      s->path[depth] = list.actions[i];
      s->transitions++;
      if (faulty (&next))
        {
          s->fault_depth = depth + 1;
          return false;
        }
      if (seen_add (s, digest (&next)) && !visit (s, &next, depth + 1))
        return false;
    }
  return true;
}

static void
world_init (struct world *w, const struct budget *budget)
{
  memset (w, 0, sizeof *w);
  for (uint8_t i = 0; i < SIDECARS; i++)
    process_add (w, i);
  for (uint8_t r = 0; r < REQUESTS; r++)
    message_add (w, (struct message){ MESSAGE_CLAIM, r, 0, 0 });
  w->budget = *budget;
  w->cut_entry = ANY;
  w->cut_instance = ANY;
}

static void
search_run (struct search *s, enum broken broken, const struct budget *budget)
{
  struct bd_custody_settings settings = { .max_records = 1 };
  struct world w;

  memset (s, 0, sizeof *s);
  s->model.broken = broken;
  s->seen_mask = (1U << 16) - 1;
  s->seen = g_new0 (uint64_t, s->seen_mask + 1);
  for (size_t p = 0; p < PROCESSES; p++)
    s->model.custodies[p] = bd_custody_create (&settings);
  world_init (&w, budget);
  seen_add (s, digest (&w));
  visit (s, &w, 0);
  for (size_t p = 0; p < PROCESSES; p++)
    bd_custody_destroy (s->model.custodies[p]);
  g_free (s->seen);
}

static void
path_print (const struct search *s)
{
  for (size_t i = 0; i < s->fault_depth; i++)
    g_test_message ("  %s %d %d", action_names[s->path[i].kind], s->path[i].a,
                    s->path[i].b);
}

static const struct budget whole = { .duplicates = 1,
                                     .withdrawals = (1U << REQUESTS) - 1,
                                     .hand_overs = 1,
                                     .crashes = 1,
                                     .pauses = 1,
                                     .cuts = 1,
                                     .not_sent = 0 };

/* A hand-over is handed over again; a start is taken back. */
static const struct budget passed_on = { .duplicates = 1,
                                         .withdrawals = (1U << REQUESTS) - 1,
                                         .hand_overs = 2,
                                         .crashes = 1,
                                         .not_sent = 1 };

static void
test_correct (gconstpointer data)
{
  struct search s;

  search_run (&s, CORRECT, data);
  g_test_message ("%zu states, %zu transitions, depth %zu", s.states,
                  s.transitions, s.deepest);
  path_print (&s);
  g_assert_cmpuint (s.fault_depth, ==, 0);
}

static void
test_broken (gconstpointer data)
{
  struct search s;

  search_run (&s, (enum broken)GPOINTER_TO_INT (data), &whole);
  g_test_message ("fault after %zu states, path of %zu", s.states,
                  s.fault_depth);
  path_print (&s);
  g_assert_cmpuint (s.fault_depth, >, 0);
}

int
main (int argc, char **argv)
{
  static const char *const names[]
      = { [TWO_SUCCESSORS] = "two-successors",
          [NO_TOMBSTONE] = "no-tombstone",
          [INCARNATION_IGNORED] = "incarnation-ignored",
          [START_NOT_ASKED] = "start-not-asked",
          [WITHDRAWN_BLINDLY] = "withdrawn-blindly",
          [REPLACED_KEEPS_NAME] = "replaced-keeps-name" };

  g_test_init (&argc, &argv, NULL);
  for (int b = 1; b < (int)G_N_ELEMENTS (names); b++)
    {
      char *path = g_strdup_printf ("/custody-search/broken/%s", names[b]);

      g_test_add_data_func (path, GINT_TO_POINTER (b), test_broken);
      g_free (path);
    }
  g_test_add_data_func ("/custody-search/whole", &whole, test_correct);
  g_test_add_data_func ("/custody-search/passed-on", &passed_on, test_correct);
  return g_test_run ();
}
