#include "support_mesh.h"

static void
on_members (void *context, uint32_t count)
{
  (void)context;
  (void)count;
}

static void
on_newer (void *context, uint32_t ip, uint64_t revision)
{
  (void)context;
  (void)ip;
  (void)revision;
}

struct bd_mesh_handler
support_mesh_handler (void (*on_message) (
    void *context, uint32_t ip, const struct bd_placing_message *message))
{
  return (struct bd_mesh_handler){ .on_members = on_members,
                                   .on_newer = on_newer,
                                   .on_message = on_message };
}
