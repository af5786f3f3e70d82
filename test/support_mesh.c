#include "support_mesh.h"

static void
on_instance_count (void *context, uint32_t count)
{
  (void)context;
  (void)count;
}

static void
on_newer_configuration (void *context, uint32_t ip, uint64_t revision)
{
  (void)context;
  (void)ip;
  (void)revision;
}

struct bd_mesh_handler
support_mesh_handler (void (*on_message) (
    void *context, uint32_t ip, const struct bd_coordination_message *message))
{
  return (struct bd_mesh_handler){ .on_instance_count = on_instance_count,
                                   .on_newer_configuration
                                   = on_newer_configuration,
                                   .on_message = on_message };
}
