#include "gateway/peer_table.h"

#include "common/log.h"
#include "gateway/mesh.h"

#include <arpa/inet.h>
#include <stdlib.h>

struct bd_peer *
bd_peer_table_find (const struct bd_peer_table *table, uint32_t ip)
{
  for (size_t i = 0; i < table->count; i++)
    if (table->peers[i]->ip == ip)
      return table->peers[i];
  return NULL;
}

struct bd_peer *
bd_peer_table_get (struct bd_peer_table *table, uint32_t ip)
{
  struct bd_peer *peer = bd_peer_table_find (table, ip);
  struct bd_peer **all;

  if (peer || ip == table->own_ip || table->count == BD_MESH_PEERS_MAX)
    return peer;
  all = realloc (table->peers, (table->count + 1) * sizeof (struct bd_peer *));
  if (!all)
    return NULL;
  table->peers = all;
  peer = calloc (1, sizeof *peer);
  if (!peer)
    return NULL;
  peer->ip = ip;
  table->peers[table->count++] = peer;
  return peer;
}

void
bd_peer_table_remove_silent (struct bd_peer_table *table, int64_t now_ms,
                             int64_t silence_ms, int64_t remove_ms)
{
  size_t kept = 0;

  for (size_t i = 0; i < table->count; i++)
    {
      struct bd_peer *peer = table->peers[i];

      if (peer->last_seen_ms == 0)
        peer->last_seen_ms = now_ms - silence_ms - 1;
      if (now_ms - peer->last_seen_ms > remove_ms)
        {
          bd_log (BD_EVENT_MEMBER_GONE, "ip=%08x silent_ms=%lld",
                  ntohl (peer->ip), (long long)(now_ms - peer->last_seen_ms));
          free (peer);
        }
      else
        table->peers[kept++] = peer;
    }
  table->count = kept;
}
