#include "entry/config_view.h"

#include <stdlib.h>
#include <urcu.h>

struct bd_config_view
{
  struct bd_config_snapshot *snapshot;
};

struct bd_config_view *
bd_config_view_create (void)
{
  return calloc (1, sizeof (struct bd_config_view));
}

void
bd_config_view_destroy (struct bd_config_view *view)
{
  if (!view)
    return;
  if (view->snapshot)
    bd_config_snapshot_release (view->snapshot);
  free (view);
}

void
bd_config_view_publish (struct bd_config_view *view,
                        struct bd_config_snapshot *snapshot)
{
  struct bd_config_snapshot *old
      = rcu_xchg_pointer (&view->snapshot, snapshot);

  synchronize_rcu ();
  if (old)
    bd_config_snapshot_release (old);
}

const struct bd_config_snapshot *
bd_config_view_read_lock (struct bd_config_view *view)
{
  rcu_read_lock ();
  return rcu_dereference (view->snapshot);
}

void
bd_config_view_read_unlock (void)
{
  rcu_read_unlock ();
}
