/**
 * @file telling.h
 * Fills gossip with the state of runners, and applies what peers gossip about
 * runners and about requests that crash them.
 */
#ifndef BD_TELLING_H
#define BD_TELLING_H

#include "balance/target.h"
#include "gateway/news.h"

/**
 * Adds the load of this instance at each of TARGETS, and which it has ejected.
 */
void bd_tell_loads (struct bd_targets *targets, struct bd_news *gossip,
                    int64_t now_ms);

/** Resets the loads of peers at all of TARGETS. */
void bd_forget_loads (struct bd_targets *targets);

/** Adds the loads of a peer to those of peers at TARGETS. */
void bd_add_loads (struct bd_targets *targets,
                   const struct bd_news_load *loads, size_t count);

/** Adds the TARGETS that lately announced their shutdown to this instance. */
void bd_tell_leaving (struct bd_targets *targets, struct bd_news *gossip,
                      int64_t now_ms);

/** Marks the runners of TARGETS that announced their shutdown to a peer. */
void bd_take_leaving (struct bd_targets *targets, const struct bd_news *gossip,
                      int64_t now_ms);

/** Records the strikes in GOSSIP, and logs the new ones. */
void bd_take_strikes (struct bd_suspects *suspects,
                      const struct bd_news *gossip, int64_t now_ms);

#endif
