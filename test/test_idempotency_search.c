/*
 * Exhaustive search for a state in which a key ran twice, or ran although it
 * was reported as not run.  Every action consumes a message or a part of a
 * budget, so the state graph is finite and is visited completely.  A state
 * with an undelivered message covers the state in which that message was lost.
 * States are compared by a 64-bit digest.
 */
#include "idempotency_model.h"

#define MAX_ACTIONS 160
#define MAX_DEPTH 80

struct search
{
  struct model model;
  uint64_t *visited; /* Hash table of digests; 0 is free. */
  size_t visited_mask;
  size_t states;
  size_t transitions;
  size_t max_depth;
  struct action path[MAX_DEPTH];
  size_t violation_depth; /* 0 without a violation. */
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
list_messages (const struct model_state *state, struct action_list *l)
{
  for (uint8_t i = 0; i < state->message_count; i++)
    {
      struct message m = state->messages[i];

      if (i > 0 && memcmp (&m, &state->messages[i - 1], sizeof m) == 0)
        continue;
      if (state->budget.duplicates > 0)
        list_add (l, ACTION_DUPLICATE, i, 0);
      for (uint8_t p = 0; p < state->process_count; p++)
        if (state->processes[p].alive && !state->processes[p].paused
            && state->processes[p].instance == m.instance
            && !message_is_cut (state, m))
          list_add (l, ACTION_DELIVER, i, p);
    }
  for (uint8_t r = 0; r < REQUESTS; r++)
    for (uint8_t i = 0; i < SIDECARS && state->budget.withdrawals & 1U << r;
         i++)
      list_add (l, ACTION_WITHDRAW, r, i);
}

static void
list_work (const struct model_state *state, uint8_t p, struct action_list *l)
{
  const struct process *process = &state->processes[p];

  for (uint8_t r = 0; r < REQUESTS; r++)
    if (process->queued_requests & 1U << r && process->started_request == 0
        && !process->running)
      list_add (l, ACTION_START, p, r);
  for (uint8_t q = 0; q < state->process_count && state->budget.handovers > 0;
       q++)
    if (process->has_record && process->record.state == STATE_QUEUED
        && state->processes[q].instance != process->instance)
      list_add (l, ACTION_HAND_OVER, p, q);
  if (process->started_request > 0)
    list_add (l, ACTION_SENT, p, 0);
  if (process->started_request > 0 && state->budget.not_sent > 0)
    list_add (l, ACTION_NOT_SENT, p, 0);
  for (uint8_t error = 0; error < 2 && process->running; error++)
    list_add (l, ACTION_FINISH, p, error);
}

static void
list_faults (const struct model_state *state, struct action_list *l)
{
  for (uint8_t p = 0; p < state->process_count; p++)
    {
      const struct process *process = &state->processes[p];

      if (!process->alive)
        continue;
      if (state->budget.crashes > 0)
        list_add (l, process->paused ? ACTION_REPLACE : ACTION_CRASH, p, 0);
      if (process->paused)
        list_add (l, ACTION_CONTINUE, p, 0);
      else if (state->budget.pauses > 0)
        list_add (l, ACTION_PAUSE, p, 0);
    }
  if (state->cut_entry != NO_PARTITION)
    list_add (l, ACTION_RECONNECT, 0, 0);
  for (uint8_t e = 0; e < 2 && state->budget.partitions > 0; e++)
    for (uint8_t i = 0; i < SIDECARS; i++)
      list_add (l, ACTION_CUT, e, i);
}

static void
list_actions (const struct model_state *state, struct action_list *l)
{
  l->count = 0;
  list_messages (state, l);
  for (uint8_t p = 0; p < state->process_count; p++)
    if (state->processes[p].alive && !state->processes[p].paused)
      list_work (state, p, l);
  list_faults (state, l);
}

static void
visited_grow (struct search *s)
{
  uint64_t *old = s->visited;
  size_t count = s->visited_mask + 1;

  s->visited = g_new0 (uint64_t, count * 2);
  s->visited_mask = count * 2 - 1;
  for (size_t k = 0; k < count; k++)
    if (old[k] != 0)
      {
        size_t i = old[k] & s->visited_mask;

        while (s->visited[i] != 0)
          i = (i + 1) & s->visited_mask;
        s->visited[i] = old[k];
      }
  g_free (old);
}

/* Returns false for a state that was visited before. */
static bool
visited_add (struct search *s, uint64_t d)
{
  size_t i;

  d += d == 0;
  if (s->states * 3 > s->visited_mask * 2)
    visited_grow (s);
  for (i = d & s->visited_mask; s->visited[i] != 0;
       i = (i + 1) & s->visited_mask)
    if (s->visited[i] == d)
      return false;
  s->visited[i] = d;
  s->states++;
  return true;
}

static bool
violates_invariant (const struct model_state *state)
{
  return state->run_count > 1
         || (state->reported_not_run && state->run_count > 0);
}

/* Visits all successor states; false after a violation. */
static bool
visit (struct search *s, const struct model_state *state, size_t depth)
{
  struct action_list list;

  if (depth > s->max_depth)
    s->max_depth = depth;
  g_assert_cmpuint (depth, <, MAX_DEPTH);
  list_actions (state, &list);
  for (size_t i = 0; i < list.count; i++)
    {
      struct model_state next = *state;

      apply (&s->model, &next, list.actions[i]);
      s->path[depth] = list.actions[i];
      s->transitions++;
      if (violates_invariant (&next))
        {
          s->violation_depth = depth + 1;
          return false;
        }
      if (visited_add (s, digest (&next)) && !visit (s, &next, depth + 1))
        return false;
    }
  return true;
}

static void
state_init (struct model_state *state, const struct budget *budget)
{
  memset (state, 0, sizeof *state);
  for (uint8_t i = 0; i < SIDECARS; i++)
    process_add (state, i);
  for (uint8_t r = 0; r < REQUESTS; r++)
    message_add (state, (struct message){ MESSAGE_CLAIM, r, 0, 0 });
  state->budget = *budget;
  state->cut_entry = NO_PARTITION;
  state->cut_instance = NO_PARTITION;
}

static void
run_search (struct search *s, enum mutation mutation,
            const struct budget *budget)
{
  struct bd_idempotency_settings settings = { .max_records = 1 };
  struct model_state state;

  memset (s, 0, sizeof *s);
  s->model.mutation = mutation;
  s->visited_mask = (1U << 16) - 1;
  s->visited = g_new0 (uint64_t, s->visited_mask + 1);
  for (size_t p = 0; p < PROCESSES; p++)
    s->model.idempotency[p] = bd_idempotency_create (&settings);
  state_init (&state, budget);
  visited_add (s, digest (&state));
  visit (s, &state, 0);
  for (size_t p = 0; p < PROCESSES; p++)
    bd_idempotency_destroy (s->model.idempotency[p]);
  g_free (s->visited);
}

static void
print_path (const struct search *s)
{
  for (size_t i = 0; i < s->violation_depth; i++)
    g_test_message ("  %s %d %d", action_names[s->path[i].kind], s->path[i].a,
                    s->path[i].b);
}

static const struct budget all_faults = { .duplicates = 1,
                                          .withdrawals = (1U << REQUESTS) - 1,
                                          .handovers = 1,
                                          .crashes = 1,
                                          .pauses = 1,
                                          .partitions = 1,
                                          .not_sent = 0 };

/* Includes a second handover and a start that is undone. */
static const struct budget repeated_handover
    = { .duplicates = 1,
        .withdrawals = (1U << REQUESTS) - 1,
        .handovers = 2,
        .crashes = 1,
        .not_sent = 1 };

static void
test_correct (gconstpointer data)
{
  struct search s;

  run_search (&s, CORRECT, data);
  g_test_message ("%zu states, %zu transitions, depth %zu", s.states,
                  s.transitions, s.max_depth);
  print_path (&s);
  g_assert_cmpuint (s.violation_depth, ==, 0);
}

static void
test_broken (gconstpointer data)
{
  struct search s;

  run_search (&s, (enum mutation)GPOINTER_TO_INT (data), &all_faults);
  g_test_message ("violation after %zu states, path of %zu", s.states,
                  s.violation_depth);
  print_path (&s);
  g_assert_cmpuint (s.violation_depth, >, 0);
}

int
main (int argc, char **argv)
{
  static const char *const names[]
      = { [TWO_SUCCESSORS] = "two-successors",
          [NO_TOMBSTONE] = "no-tombstone",
          [INCARNATION_IGNORED] = "incarnation-ignored",
          [START_NOT_ASKED] = "start-not-checked",
          [WITHDRAWN_BLINDLY] = "withdrawal-always-confirmed",
          [REPLACED_KEEPS_NAME] = "incarnation-reused" };

  g_test_init (&argc, &argv, NULL);
  for (int b = 1; b < (int)G_N_ELEMENTS (names); b++)
    {
      char *path
          = g_strdup_printf ("/idempotency-search/mutation/%s", names[b]);

      g_test_add_data_func (path, GINT_TO_POINTER (b), test_broken);
      g_free (path);
    }
  g_test_add_data_func ("/idempotency-search/all-faults", &all_faults,
                        test_correct);
  g_test_add_data_func ("/idempotency-search/repeated-handover",
                        &repeated_handover, test_correct);
  return g_test_run ();
}
