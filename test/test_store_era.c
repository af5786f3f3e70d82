/* Responses of a store that comes back from older copies of its data. */
#include "retry/store_era.h"

#include <glib.h>

struct step
{
  int parsed;
  int64_t number;
  bool nothing_read;
  enum bd_store_era_verdict verdict;
};

static void
play (const struct step *steps, size_t count)
{
  struct bd_store_era era = { 0 };

  for (size_t i = 0; i < count; i++)
    g_assert_cmpint (bd_store_era_check (&era, steps[i].parsed,
                                         steps[i].number,
                                         steps[i].nothing_read),
                     ==, steps[i].verdict);
}

static void
test_rises (void)
{
  static const struct step steps[]
      = { { BD_OK, 3, true, BD_STORE_ERA_CURRENT },
          { BD_OK, 3, false, BD_STORE_ERA_CURRENT },
          { BD_OK, 5, false, BD_STORE_ERA_ROSE },
          { BD_OK, 3, false, BD_STORE_ERA_FELL },
          { BD_OK, 5, false, BD_STORE_ERA_CURRENT },
          { BD_ERR_NOT_FOUND, 0, false, BD_STORE_ERA_MISSING },
          { BD_ERR_INVALID, 9, false, BD_STORE_ERA_INVALID },
          { BD_OK, 5, false, BD_STORE_ERA_CURRENT } };

  play (steps, G_N_ELEMENTS (steps));
}

/* A store without eras is one that has never lost anything; its first era is
   a loss if something was read before. */
static void
test_none_at_first (void)
{
  static const struct step steps[]
      = { { BD_ERR_NOT_FOUND, 0, true, BD_STORE_ERA_NONE },
          { BD_ERR_NOT_FOUND, 0, false, BD_STORE_ERA_NONE },
          { BD_OK, 1, false, BD_STORE_ERA_ROSE },
          { BD_OK, 1, false, BD_STORE_ERA_CURRENT } };

  play (steps, G_N_ELEMENTS (steps));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/store-era/rises", test_rises);
  g_test_add_func ("/store-era/none-at-first", test_none_at_first);
  return g_test_run ();
}
